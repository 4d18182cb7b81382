/**
 * @fileoverview Decides the next step that replaces lost replicas.
 */
import {type Member} from '@dogwoodtrestle/schema';

import {type PeerStatus, type ReplicaStatus} from './replica.js';
import {majorityOf} from './util/quorum.js';

/** An instance with a disk whose replica isn't a member. */
export interface RepairCandidate {
  id: string;
  instance: string;
  address: string;
  failureDomain: string;
}

/** What the decision looks at; `status` is the leader's. */
export interface RepairInput {
  status: Pick<ReplicaStatus, 'id' | 'commitIndex' | 'members' | 'peers'>;
  candidates: readonly RepairCandidate[];
  /** Failure domain of each member's instance, where it is known. */
  failureDomains: ReadonlyMap<string, string>;
  /** Members whose disk is known to be gone; they never come back. */
  permanentlyLost?: ReadonlySet<string>;
}

/** Bounds of the decision. */
export interface RepairOptions {
  /** Time without contact after which a replica counts as lost. */
  lostAfterMilliseconds: number;
  /** Voters that the group should have. */
  targetVoters: number;
  /** Entries that a learner may lag behind when it is promoted. */
  maxPromotionLag: number;
}

/** Bounds for a group of three. */
export const defaultRepairOptions: RepairOptions = {
  lostAfterMilliseconds: 30_000,
  targetVoters: 3,
  maxPromotionLag: 100,
};

/** Why there is nothing to do now. */
export type NoRepairReason =
  'complete' | 'learnerCatchesUp' | 'noCandidate' | 'wouldNotSurviveLoss';

/** One change of the members, or none. */
export type RepairStep =
  | {kind: 'none'; reason: NoRepairReason}
  | {kind: 'addLearner'; member: Member}
  | {kind: 'promote'; id: string}
  | {kind: 'remove'; id: string};

/** Sorted members of the group. */
interface Survey {
  voters: Member[];
  /** Voters in contact with the leader, itself included. */
  reachableVoters: Member[];
  lostVoters: Member[];
  learners: Member[];
  lostLearners: Member[];
  peers: ReadonlyMap<string, PeerStatus>;
}

/**
 * Returns the next step: a lost replica is replaced through a learner that
 * catches up, is promoted, and only then is the lost one removed. A step waits
 * when the group could not survive one more loss after it.
 */
export function decideRepair(
  input: RepairInput,
  options: Partial<RepairOptions> = {},
): RepairStep {
  const bounds = {...defaultRepairOptions, ...options};
  const survey = surveyMembers(input, bounds);
  return (
    stepForLearners(input, survey, bounds) ??
    stepForLostVoters(survey, bounds) ??
    stepForMissingVoters(input, survey, bounds) ?? {
      kind: 'none',
      reason: 'complete',
    }
  );
}

function surveyMembers(
  {status, permanentlyLost: permanentlyLost}: RepairInput,
  {lostAfterMilliseconds}: RepairOptions,
): Survey {
  const peers = new Map(status.peers.map(peer => [peer.id, peer]));
  const isLost = ({id}: Member) =>
    id !== status.id &&
    (permanentlyLost?.has(id) === true ||
      (peers.get(id)?.lastContactMs ?? 0) > lostAfterMilliseconds);
  const voters = status.members.filter(({role}) => role === 'voter');
  const learners = status.members.filter(({role}) => role === 'learner');
  return {
    voters,
    reachableVoters: voters.filter(voter => !isLost(voter)),
    lostVoters: voters.filter(isLost),
    learners,
    lostLearners: learners.filter(isLost),
    peers,
  };
}

/** A learner is promoted once it has the log, and removed once it is lost. */
function stepForLearners(
  {status}: RepairInput,
  survey: Survey,
  {targetVoters, maxPromotionLag}: RepairOptions,
): RepairStep | undefined {
  const [lost] = survey.lostLearners;
  if (lost !== undefined) return {kind: 'remove', id: lost.id};
  const [learner] = survey.learners;
  if (learner === undefined) return undefined;
  if (survey.reachableVoters.length >= targetVoters) {
    return {kind: 'remove', id: learner.id};
  }
  const matchIndex = survey.peers.get(learner.id)?.matchIndex ?? 0;
  if (matchIndex === 0 || matchIndex < status.commitIndex - maxPromotionLag) {
    return {kind: 'none', reason: 'learnerCatchesUp'};
  }
  const {voters, reachableVoters} = survey;
  const before = spareVoters(voters.length, reachableVoters.length);
  const after = spareVoters(voters.length + 1, reachableVoters.length + 1);
  return after < Math.min(before, 1)
    ? {kind: 'none', reason: 'wouldNotSurviveLoss'}
    : {kind: 'promote', id: learner.id};
}

/** A lost voter goes once the group survives one more loss without it. */
function stepForLostVoters(
  {voters, reachableVoters, lostVoters}: Survey,
  {targetVoters}: RepairOptions,
): RepairStep | undefined {
  const [lost] = lostVoters;
  if (lost === undefined || reachableVoters.length < targetVoters) {
    return undefined;
  }
  return spareVoters(voters.length - 1, reachableVoters.length) < 1
    ? {kind: 'none', reason: 'wouldNotSurviveLoss'}
    : {kind: 'remove', id: lost.id};
}

function stepForMissingVoters(
  input: RepairInput,
  survey: Survey,
  {targetVoters}: RepairOptions,
): RepairStep | undefined {
  if (survey.reachableVoters.length >= targetVoters) return undefined;
  const candidate = bestCandidate(input, survey);
  if (candidate === undefined) return {kind: 'none', reason: 'noCandidate'};
  const {id, instance, address} = candidate;
  return {
    kind: 'addLearner',
    member: {id, instance, address, role: 'learner'},
  };
}

/** Prefers the failure domain with the fewest reachable replicas. */
function bestCandidate(
  {candidates, failureDomains}: RepairInput,
  {reachableVoters}: Survey,
): RepairCandidate | undefined {
  const occupied = new Set(reachableVoters.map(({instance}) => instance));
  const replicasIn = (failureDomain: string) =>
    reachableVoters.filter(
      ({instance}) => failureDomains.get(instance) === failureDomain,
    ).length;
  return candidates
    .filter(({instance}) => !occupied.has(instance))
    .sort(
      (a, b) =>
        replicasIn(a.failureDomain) - replicasIn(b.failureDomain) ||
        a.id.localeCompare(b.id),
    )[0];
}

/** Voters that may be lost before there is no majority; negative without one. */
function spareVoters(voters: number, reachable: number): number {
  return reachable - majorityOf(voters);
}
