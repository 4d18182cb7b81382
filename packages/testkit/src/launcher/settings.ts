/** @fileoverview Writes the settings of a daemon of a test cluster. */
import path from 'node:path';

/** Addresses and role of one daemon. */
export interface DaemonPlan {
  name: string;
  address: string;
  failureDomain: string;
  callerPort: number;
  peerPort: number;
  /** Port of the relay before the peer port, or the peer port itself. */
  advertisedPeerPort: number;
  /** Present on an instance with a ledger replica. */
  dataFolder?: string;
}

/** Number of daemons that a new one joins by. */
const seedCount = 3;

/**
 * Returns a settings file. It is JSON, which is YAML as well.
 *
 * @param folder Folder of the key files.
 * @param extra Further settings, merged by section.
 */
export function settingsText(
  folder: string,
  plan: DaemonPlan,
  plans: readonly DaemonPlan[],
  extra: Record<string, Record<string, unknown>>,
): string {
  const {name, address, failureDomain, dataFolder} = plan;
  const peerAddress = (each: DaemonPlan) =>
    `${each.address}:${each.advertisedPeerPort}`;
  const replicas = plans.filter(each => each.dataFolder !== undefined);
  const sections: Record<string, Record<string, unknown>> = {
    cluster: {
      name: 'test',
      keyFile: path.join(folder, 'cluster.key'),
      seeds: plans.slice(0, seedCount).map(peerAddress),
      initialReplicas: replicas.map(peerAddress),
    },
    instance: {
      name,
      failureDomain,
      address,
      roles: dataFolder === undefined ? ['router'] : ['router', 'ledger'],
      ...(dataFolder === undefined ? {} : {dataFolder}),
    },
    listeners: {
      callerPort: plan.callerPort,
      peerPort: plan.peerPort,
      ...(plan.advertisedPeerPort === plan.peerPort
        ? {}
        : {advertisedPeerPort: plan.advertisedPeerPort}),
    },
    operators: {keyFile: path.join(folder, 'operator.key')},
    backends: {keyFile: path.join(folder, 'backend.key')},
    traces: {file: path.join(folder, `${name}-spans.jsonl`)},
  };
  for (const [section, values] of Object.entries(extra)) {
    sections[section] = {...sections[section], ...values};
  }
  return `${JSON.stringify(sections, undefined, 2)}\n`;
}
