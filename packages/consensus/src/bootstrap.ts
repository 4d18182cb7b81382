/**
 * @fileoverview Founds the cluster's first group of ledger replicas.
 *
 * The instance at the first address of `cluster.initialReplicas` founds, once.
 * It needs an answer from all the others, and all logs must be empty: so an
 * instance that has lost its disk never founds a second cluster beside one
 * that exists. The founder makes the first membership durable on its own disk
 * first; whoever it doesn't reach then gets it through the replicated log.
 */
import {type PeerIdentity, type Member} from '@dogwoodtrestle/schema';

import {BootstrapError} from './errors.js';

/** What founding needs. */
export interface BootstrapOptions {
  /** This instance's own peer address. */
  address: string;
  initialReplicas: string[];
  /** This instance's identity. */
  identity: () => PeerIdentity;
  /** Asks another instance; rejects if it can't be reached. */
  ask: (address: string) => Promise<PeerIdentity>;
  /** Founds the group on the local replica. */
  bootstrapLocally: (members: Member[]) => Promise<void>;
  /** Tells another instance the first membership. */
  bootstrapRemotely: (address: string, members: Member[]) => Promise<void>;
}

/** What came of an attempt to found. */
export type BootstrapOutcome =
  | 'founded'
  | 'notFounder'
  | 'exists' // some log isn't empty
  | 'waiting'; // somebody didn't answer

/** Founds the cluster if that is this instance's part and still to be done. */
export async function bootstrapCluster(
  options: BootstrapOptions,
): Promise<BootstrapOutcome> {
  const {address, initialReplicas, identity, ask} = options;
  if (initialReplicas[0] !== address) return 'notFounder';
  if (identity().replica?.logEmpty !== true) return 'exists';
  const others = initialReplicas.slice(1);
  const answers = await Promise.allSettled(others.map(ask));
  const identities = [identity()];
  for (const answer of answers) {
    if (answer.status === 'rejected') return 'waiting';
    identities.push(answer.value);
  }
  checkDistinct(identities);
  if (identities.some(({replica}) => replica?.logEmpty !== true)) {
    return 'exists';
  }
  await found(options, identities);
  return 'founded';
}

async function found(
  options: BootstrapOptions,
  identities: PeerIdentity[],
): Promise<void> {
  const {
    initialReplicas,
    bootstrapLocally: bootstrapLocally,
    bootstrapRemotely: bootstrapRemotely,
  } = options;
  const members = identities.map((identity, position) =>
    memberOf(identity, initialReplicas[position] ?? identity.address),
  );
  await bootstrapLocally(members);
  await Promise.allSettled(
    initialReplicas.slice(1).map(other => bootstrapRemotely(other, members)),
  );
}

function memberOf(identity: PeerIdentity, address: string): Member {
  const {instance, replica} = identity;
  return {id: replica?.replicaId ?? '', instance, address, role: 'voter'};
}

function checkDistinct(identities: PeerIdentity[]): void {
  const withoutReplica = identities.filter(({replica}) => !replica);
  if (withoutReplica.length > 0) {
    const names = withoutReplica.map(({instance}) => instance).join(', ');
    throw new BootstrapError(
      `cluster.initialReplicas names instances without the ledger role: ${names}`,
    );
  }
  const ids = new Set(identities.map(({replica}) => replica?.replicaId));
  if (ids.size < identities.length) {
    throw new BootstrapError(
      'cluster.initialReplicas names one replica under several addresses',
    );
  }
}
