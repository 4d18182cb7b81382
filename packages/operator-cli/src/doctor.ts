/** @fileoverview Health checks of a cluster, based on the operator API's views. */
import {
  type BackendView,
  type BudgetView,
  type InstanceView,
  type ReplicaView,
} from '@dogwoodtrestle/schema';

/** Views that the checks evaluate. */
export interface ClusterState {
  instances: InstanceView[];
  replicas: ReplicaView[];
  backends: BackendView[];
  budgets: BudgetView[];
}

/** Result of one check. */
export interface CheckResult {
  check: string;
  passed: boolean;
  details: string[];
}

/** Longest acceptable time since an instance last heard from the quorum. */
const renewalLimitMilliseconds = 5000;

/** Checks by name; each returns a description of every problem it finds. */
const checks: Record<string, (state: ClusterState) => string[]> = {
  'instances are serving': ({instances}) =>
    instances
      .filter(each => each.state !== 'serving')
      .map(each => `${each.name} is ${each.state}`),
  'instances hear from the quorum': ({instances}) =>
    instances
      .filter(each => each.renewedMillisecondsAgo > renewalLimitMilliseconds)
      .map(each => `${each.name}: last ${each.renewedMillisecondsAgo} ms ago`),
  'one revision is in force': ({instances}) => {
    const newest = Math.max(0, ...instances.map(each => each.revision));
    return instances
      .filter(each => each.revision < newest)
      .map(each => `${each.name} has ${each.revision}, newest is ${newest}`);
  },
  'the ledger has one leader': ({replicas}) => {
    const leaders = replicas.filter(each => each.role === 'leader');
    return leaders.length === 1
      ? []
      : [`${leaders.length} of ${replicas.length} replicas lead`];
  },
  'the ledger survives a loss': ({replicas}) => {
    const leader = replicas.find(each => each.role === 'leader');
    const voters = (leader?.members ?? []).filter(
      each => each.role === 'voter',
    );
    const shown = new Set(replicas.map(each => each.replicaId));
    const missing = voters.filter(each => !shown.has(each.replicaId));
    return [
      ...(voters.length < 3 ? [`only ${voters.length} voters`] : []),
      ...missing.map(each => `replica on ${each.instance} does not answer`),
    ];
  },
  'backend servers are serving': ({backends}) =>
    backends
      .filter(each => each.state === 'silent' || each.state === 'ejected')
      .map(each => `${each.announcement.name} is ${each.state}`),
  'budgets hold': ({budgets}) =>
    budgets
      .filter(each => each.billed + each.reserved + each.granted > each.prepaid)
      .map(each => `${each.customer} is past its prepaid amount`),
};

/** Runs all checks and returns their results in a fixed order. */
export function diagnose(state: ClusterState): CheckResult[] {
  return Object.entries(checks).map(([check, run]) => {
    const details = run(state);
    return {check, passed: details.length === 0, details};
  });
}
