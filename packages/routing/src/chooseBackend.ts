/**
 * @fileoverview Chooses the backend server for one attempt.
 *
 * Each candidate gets a cost: its expected utilisation including this request,
 * plus the cost of recomputing the uncached part of the prompt, plus a
 * surcharge for a different failure domain. Cached prefixes count only while
 * the server's utilisation is close to that of the least loaded server, so
 * that a popular prefix does not overload one server. The choice is random
 * among the candidates near the lowest cost: several routers act on the same
 * delayed load reports and would otherwise all choose the same server.
 */
import {type BackendEntry} from './backendDirectory.js';
import {
  type BackendUtilisation,
  type LocalLoad,
  utilisations,
  type WeightedBackend,
} from './utilisation.js';

/** Health of a backend server as this instance sees it. */
export interface BackendHealth {
  /** Whether outlier detection excludes the server from new work. */
  ejected: boolean;
  /** Share of its full load that the server should get now, in (0, 1]. */
  weight: number;
}

/** Weights and limits of the choice. Utilisation is load / capacity. */
export interface BackendChoiceOptions {
  /** Cost of computing 1,000 prompt tokens, in units of utilisation. */
  recomputeCost: number;
  /**
   * Cached prefixes count for servers whose utilisation exceeds that of the
   * least loaded candidate by at most this much.
   */
  affinityHeadroom: number;
  /**
   * Weight of reported differences in the load from other routers, from 0
   * (other routers are assumed to load all servers equally) to 1 (reports are
   * used as they are).
   */
  reportTrust: number;
  /** Cost of another failure domain, in units of utilisation. */
  remoteCost: number;
  /** Candidates within this distance of the lowest cost count as equal. */
  tolerance: number;
  /** Maximum number of candidates in the explanation. */
  explainedCandidates: number;
}

/** Default weights and limits. */
export const defaultBackendChoiceOptions: BackendChoiceOptions = {
  recomputeCost: 0.05,
  affinityHeadroom: 1,
  reportTrust: 0.2,
  remoteCost: 0.2,
  tolerance: 0.02,
  explainedCandidates: 12,
};

/** State that a choice depends on. */
export interface BackendChoiceInput extends LocalLoad {
  /** Servers that offer the target and are serving. */
  candidates: readonly BackendEntry[];
  /** Monotonic milliseconds. */
  now: number;
  /** Failure domain of this instance. */
  failureDomain: string;
  /** Length of the prompt; 1,000 tokens are assumed where it is missing. */
  promptTokens?: number;
  /** Share of the prompt that the named server has cached, from 0 to 1. */
  prefixHitRatio: (name: string) => number;
  /** Health of the named server. */
  health: (name: string) => BackendHealth;
  /** Names of the servers that earlier attempts of the request used. */
  exclude: ReadonlySet<string>;
  /** Returns uniform numbers in [0, 1). */
  random: () => number;
  options?: Partial<BackendChoiceOptions>;
}

/** Why a candidate was chosen or passed over; shown to operators. */
export type ChoiceReason =
  'chosen' | 'nearLowestCost' | 'higherCost' | 'ejected' | 'excluded';

/** A candidate in the explanation of a choice; shown to operators as JSON. */
export interface ConsideredBackend {
  /** Name of the backend server. */
  name: string;
  /** Cost; infinite for ejected and excluded candidates. */
  score: number;
  why: ChoiceReason;
}

/** The chosen server and the explanation of the choice. */
export interface BackendChoice {
  /** Undefined if no candidate is eligible. */
  backend?: BackendEntry;
  /**
   * Candidates by ascending cost, then the ineligible ones; at most
   * `explainedCandidates`, always including the chosen one.
   */
  considered: ConsideredBackend[];
}

/** Prompt length that is assumed where the input gives none. */
const defaultPromptTokens = 1_000;

interface ScoredBackend {
  entry: BackendEntry;
  cost: number;
}

/**
 * Chooses a server among the candidates, at random among those near the lowest
 * cost.
 */
export function chooseBackend(input: BackendChoiceInput): BackendChoice {
  const options = {...defaultBackendChoiceOptions, ...input.options};
  const ineligible: ConsideredBackend[] = [];
  const usable: WeightedBackend[] = [];
  for (const entry of input.candidates) {
    const {name} = entry.announcement;
    const {ejected, weight} = input.health(name);
    const why = input.exclude.has(name) ? 'excluded' : 'ejected';
    if (ejected || why === 'excluded') {
      ineligible.push({name, score: Infinity, why});
    } else {
      usable.push({entry, weight});
    }
  }
  const scored = scoreCandidates(
    utilisations(usable, input, options),
    input,
    options,
  );
  const chosen = pickNearLowestCost(scored, input.random, options);
  return {
    backend: chosen?.entry,
    considered: explainChoice(scored, chosen, ineligible, options),
  };
}

function scoreCandidates(
  candidates: readonly BackendUtilisation[],
  {
    prefixHitRatio,
    failureDomain,
    promptTokens = defaultPromptTokens,
  }: BackendChoiceInput,
  options: BackendChoiceOptions,
): ScoredBackend[] {
  const recomputeCost = (options.recomputeCost * promptTokens) / 1_000;
  let lowest = Infinity;
  for (const {reportedUtilisation} of candidates) {
    lowest = Math.min(lowest, reportedUtilisation);
  }
  const affinityLimit = lowest + options.affinityHeadroom;
  return candidates.map(({entry, utilisation, reportedUtilisation}) => {
    const {name, failureDomain: domain} = entry.announcement;
    const hitRatio =
      reportedUtilisation <= affinityLimit ? prefixHitRatio(name) : 0;
    const cost =
      utilisation +
      recomputeCost * (1 - hitRatio) +
      (domain === failureDomain ? 0 : options.remoteCost);
    return {entry, cost};
  });
}

function pickNearLowestCost(
  scored: readonly ScoredBackend[],
  random: () => number,
  {tolerance}: BackendChoiceOptions,
): ScoredBackend | undefined {
  let lowest = Infinity;
  for (const {cost} of scored) lowest = Math.min(lowest, cost);
  const best = scored.filter(({cost}) => cost <= lowest + tolerance);
  return best[Math.floor(random() * best.length)];
}

function explainChoice(
  scored: readonly ScoredBackend[],
  chosen: ScoredBackend | undefined,
  ineligible: readonly ConsideredBackend[],
  {tolerance, explainedCandidates}: BackendChoiceOptions,
): ConsideredBackend[] {
  const cheapest = cheapestCandidates(scored, explainedCandidates);
  const nearLimit = (cheapest[0]?.cost ?? 0) + tolerance;
  if (chosen && !cheapest.includes(chosen)) {
    cheapest[cheapest.length - 1] = chosen;
  }
  const explained = cheapest.map((candidate): ConsideredBackend => {
    const {entry, cost} = candidate;
    const reason = cost <= nearLimit ? 'nearLowestCost' : 'higherCost';
    return {
      name: entry.announcement.name,
      score: cost,
      why: candidate === chosen ? 'chosen' : reason,
    };
  });
  return [...explained, ...ineligible].slice(0, explainedCandidates);
}

/** Returns the `count` cheapest candidates in order, without a full sort. */
function cheapestCandidates(
  scored: readonly ScoredBackend[],
  count: number,
): ScoredBackend[] {
  const lowest: ScoredBackend[] = [];
  for (const candidate of scored) {
    const last = lowest[lowest.length - 1];
    if (lowest.length === count && last && candidate.cost >= last.cost) {
      continue;
    }
    let index = lowest.length;
    while (index > 0 && lowest[index - 1]!.cost > candidate.cost) index -= 1;
    lowest.splice(index, 0, candidate);
    if (lowest.length > count) lowest.pop();
  }
  return lowest;
}
