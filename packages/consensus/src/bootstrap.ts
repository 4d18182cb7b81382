/**
 * @fileoverview Bootstraps the cluster's first group of ledger replicas.
 *
 * Only the instance at the first address of `cluster.initialReplicas` does so,
 * once. It requires a reply from all the others, and all logs must be empty, so
 * that an instance that has lost its disk never bootstraps a second cluster. It
 * makes the first membership durable on its own disk first; instances that it
 * can't reach after that receive the membership through the replicated log.
 */
import {type PeerIdentity, type Member} from '@dogwoodtrestle/schema';

import {BootstrapError} from './errors.js';

/** Options and dependencies of `bootstrapCluster`. */
export interface BootstrapOptions {
  /** This instance's own peer address. */
  address: string;
  initialReplicas: string[];
  /** This instance's identity. */
  identity: () => PeerIdentity;
  /**
   * Requests the identity of another instance; rejects if it is unreachable.
   */
  fetchIdentity: (address: string) => Promise<PeerIdentity>;
  /** Bootstraps the group on the local replica. */
  bootstrapLocally: (members: Member[]) => Promise<void>;
  /** Sends the first membership to another instance. */
  bootstrapRemotely: (address: string, members: Member[]) => Promise<void>;
}

/** Result of an attempt to bootstrap the cluster. */
export type BootstrapOutcome =
  | 'founded'
  | 'notFounder'
  | 'exists' // a log isn't empty
  | 'waiting'; // an instance didn't answer

/**
 * Bootstraps the cluster if this instance is responsible for it and it has not
 * been done yet. Rejects with `BootstrapError` if an initial replica lacks the
 * ledger role or is listed twice.
 */
export async function bootstrapCluster(
  options: BootstrapOptions,
): Promise<BootstrapOutcome> {
  const {address, initialReplicas, identity, fetchIdentity} = options;
  if (initialReplicas[0] !== address) return 'notFounder';
  if (identity().replica?.logEmpty !== true) return 'exists';
  const others = initialReplicas.slice(1);
  const answers = await Promise.allSettled(others.map(fetchIdentity));
  const identities = [identity()];
  for (const answer of answers) {
    if (answer.status === 'rejected') return 'waiting';
    identities.push(answer.value);
  }
  assertDistinctReplicas(identities);
  if (identities.some(({replica}) => replica?.logEmpty !== true)) {
    return 'exists';
  }
  await bootstrapGroup(options, identities);
  return 'founded';
}

async function bootstrapGroup(
  options: BootstrapOptions,
  identities: PeerIdentity[],
): Promise<void> {
  const {initialReplicas, bootstrapLocally, bootstrapRemotely} = options;
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

function assertDistinctReplicas(identities: PeerIdentity[]): void {
  const withoutReplica = identities.filter(({replica}) => !replica);
  if (withoutReplica.length > 0) {
    const names = withoutReplica.map(({instance}) => instance).join(', ');
    throw new BootstrapError(
      `cluster.initialReplicas lists instances without the ledger role: ${names}`,
    );
  }
  const ids = new Set(identities.map(({replica}) => replica?.replicaId));
  if (ids.size < identities.length) {
    throw new BootstrapError(
      'cluster.initialReplicas lists several addresses of the same replica',
    );
  }
}
