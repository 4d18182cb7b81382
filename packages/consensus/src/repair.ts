/**
 * @fileoverview Decides the next membership change that replaces lost replicas.
 */
import {type Member} from '@dogwoodtrestle/schema';

import {type PeerStatus, type ReplicaStatus} from './replica.js';
import {majorityOf} from './util/quorum.js';

/** A replica on an instance with a disk that isn't a member of the group. */
export interface RepairCandidate {
  id: string;
  instance: string;
  address: string;
  failureDomain: string;
}

/** Input of the decision; `status` is the status of the leader. */
export interface RepairInput {
  status: Pick<ReplicaStatus, 'id' | 'commitIndex' | 'members' | 'peers'>;
  candidates: readonly RepairCandidate[];
  /** Failure domain of each member's instance, if known. */
  failureDomains: ReadonlyMap<string, string>;
  /** Ids of members whose disk is known to be lost; they never return. */
  permanentlyLost?: ReadonlySet<string>;
}

/** Limits for the decision. */
export interface RepairOptions {
  /** Time without contact after which a replica is considered lost. */
  lostAfterMilliseconds: number;
  /** Desired number of voters. */
  targetVoters: number;
  /** Maximum number of entries that a learner may lag behind when promoted. */
  maxPromotionLag: number;
}

/** Defaults for a group of three voters. */
export const defaultRepairOptions: RepairOptions = {
  lostAfterMilliseconds: 30_000,
  targetVoters: 3,
  maxPromotionLag: 100,
};

/** Reason why no change is made now. */
export type NoRepairReason =
  'complete' | 'learnerCatchesUp' | 'noCandidate' | 'wouldNotSurviveLoss';

/** One membership change, or none. */
export type RepairStep =
  | {kind: 'none'; reason: NoRepairReason}
  | {kind: 'addLearner'; member: Member}
  | {kind: 'promote'; id: string}
  | {kind: 'remove'; id: string};

/** Members of the group by role and reachability. */
interface ClassifiedMembers {
  voters: Member[];
  /** Voters in contact with the leader, including the leader itself. */
  reachableVoters: Member[];
  lostVoters: Member[];
  learners: Member[];
  lostLearners: Member[];
  peers: ReadonlyMap<string, PeerStatus>;
}

/**
 * Returns the next step. To replace a lost replica, a learner is added, catches
 * up and is promoted; only then is the lost replica removed. A step is deferred
 * if the group would not survive the loss of one more voter after it.
 */
export function decideRepair(
  input: RepairInput,
  options: Partial<RepairOptions> = {},
): RepairStep {
  const resolvedOptions = {...defaultRepairOptions, ...options};
  const groupMembers = classifyMembers(input, resolvedOptions);
  return (
    stepForLearners(input, groupMembers, resolvedOptions) ??
    stepForLostVoters(groupMembers, resolvedOptions) ??
    stepForMissingVoters(input, groupMembers, resolvedOptions) ?? {
      kind: 'none',
      reason: 'complete',
    }
  );
}

function classifyMembers(
  {status, permanentlyLost}: RepairInput,
  {lostAfterMilliseconds}: RepairOptions,
): ClassifiedMembers {
  const peersById = new Map(status.peers.map(peer => [peer.id, peer]));
  const isLost = ({id}: Member) =>
    id !== status.id &&
    (permanentlyLost?.has(id) === true ||
      (peersById.get(id)?.lastContactMs ?? 0) > lostAfterMilliseconds);
  const voters = status.members.filter(({role}) => role === 'voter');
  const learners = status.members.filter(({role}) => role === 'learner');
  return {
    voters,
    reachableVoters: voters.filter(voter => !isLost(voter)),
    lostVoters: voters.filter(isLost),
    learners,
    lostLearners: learners.filter(isLost),
    peers: peersById,
  };
}

/**
 * Promotes a learner that has caught up; removes one that is lost or unneeded.
 */
function stepForLearners(
  {status}: RepairInput,
  groupMembers: ClassifiedMembers,
  {targetVoters, maxPromotionLag}: RepairOptions,
): RepairStep | undefined {
  const [lost] = groupMembers.lostLearners;
  if (lost !== undefined) return {kind: 'remove', id: lost.id};
  const [learner] = groupMembers.learners;
  if (learner === undefined) return undefined;
  if (groupMembers.reachableVoters.length >= targetVoters) {
    return {kind: 'remove', id: learner.id};
  }
  const matchIndex = groupMembers.peers.get(learner.id)?.matchIndex ?? 0;
  if (matchIndex === 0 || matchIndex < status.commitIndex - maxPromotionLag) {
    return {kind: 'none', reason: 'learnerCatchesUp'};
  }
  const {voters, reachableVoters} = groupMembers;
  const before = toleratedVoterLosses(voters.length, reachableVoters.length);
  const after = toleratedVoterLosses(
    voters.length + 1,
    reachableVoters.length + 1,
  );
  return after < Math.min(before, 1)
    ? {kind: 'none', reason: 'wouldNotSurviveLoss'}
    : {kind: 'promote', id: learner.id};
}

/**
 * Removes a lost voter once the group would survive one more loss without it.
 */
function stepForLostVoters(
  {voters, reachableVoters, lostVoters}: ClassifiedMembers,
  {targetVoters}: RepairOptions,
): RepairStep | undefined {
  const [lost] = lostVoters;
  if (lost === undefined || reachableVoters.length < targetVoters) {
    return undefined;
  }
  return toleratedVoterLosses(voters.length - 1, reachableVoters.length) < 1
    ? {kind: 'none', reason: 'wouldNotSurviveLoss'}
    : {kind: 'remove', id: lost.id};
}

function stepForMissingVoters(
  input: RepairInput,
  groupMembers: ClassifiedMembers,
  {targetVoters}: RepairOptions,
): RepairStep | undefined {
  if (groupMembers.reachableVoters.length >= targetVoters) return undefined;
  const candidate = bestCandidate(input, groupMembers);
  if (candidate === undefined) return {kind: 'none', reason: 'noCandidate'};
  const {id, instance, address} = candidate;
  return {
    kind: 'addLearner',
    member: {id, instance, address, role: 'learner'},
  };
}

/**
 * Prefers candidates in the failure domain with the fewest reachable voters.
 */
function bestCandidate(
  {candidates, failureDomains}: RepairInput,
  {reachableVoters}: ClassifiedMembers,
): RepairCandidate | undefined {
  const occupiedInstances = new Set(
    reachableVoters.map(({instance}) => instance),
  );
  const reachableVotersIn = (failureDomain: string) =>
    reachableVoters.filter(
      ({instance}) => failureDomains.get(instance) === failureDomain,
    ).length;
  return candidates
    .filter(({instance}) => !occupiedInstances.has(instance))
    .sort(
      (a, b) =>
        reachableVotersIn(a.failureDomain) -
          reachableVotersIn(b.failureDomain) || a.id.localeCompare(b.id),
    )[0];
}

/**
 * Number of reachable voters that may be lost before the majority is lost;
 * negative if there is no majority now.
 */
function toleratedVoterLosses(voters: number, reachable: number): number {
  return reachable - majorityOf(voters);
}
