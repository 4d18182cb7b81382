/** @fileoverview Generates the settings file of a daemon. */
import path from 'node:path';

/** Addresses and role of one daemon. */
export interface DaemonPlan {
  name: string;
  address: string;
  failureDomain: string;
  callerPort: number;
  peerPort: number;
  /** Port of the relay in front of the peer port, or the peer port itself. */
  advertisedPeerPort: number;
  /** Present if the instance holds a ledger replica. */
  dataFolder?: string;
}

/** Number of daemons that are listed as seeds. */
const seedCount = 3;

/**
 * Returns the contents of a settings file, as JSON, which is valid YAML.
 *
 * @param folder Folder of the key and span files.
 * @param overrides Additional settings, merged by section.
 */
export function formatSettings(
  folder: string,
  plan: DaemonPlan,
  plans: readonly DaemonPlan[],
  overrides: Record<string, Record<string, unknown>>,
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
  for (const [section, values] of Object.entries(overrides)) {
    sections[section] = {...sections[section], ...values};
  }
  return `${JSON.stringify(sections, undefined, 2)}\n`;
}
