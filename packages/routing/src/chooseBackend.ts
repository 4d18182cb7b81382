/**
 * @fileoverview Chooses the backend server of one attempt.
 *
 * Each candidate gets a cost, the lower the better: how full it will be with
 * this request, plus the share of the prompt that it would have to recompute,
 * plus a surcharge for another failure domain. The cache counts only while the
 * server isn't much fuller than the least loaded one, so that a popular prefix
 * can't make a hot spot. The choice is random among those near the lowest cost,
 * because several routers act on the same lagging reports and would otherwise
 * all pick the same server.
 */
import {type BackendEntry} from './directory.js';
import {
  type OwnLoad,
  type UsableBackend,
  type Utilisation,
  utilisations,
} from './utilisation.js';

export interface BackendHealth {
  ejected: boolean;
  /** Share of its full load that the server should get now, above 0 up to 1. */
  weight: number;
}

export interface BackendChoiceOptions {
  /** Cost of computing 1,000 prompt tokens, in units of utilisation. */
  recomputeCost: number;
  /** The cache counts up to this much utilisation above the least loaded. */
  affinityHeadroom: number;
  /**
   * How far a report counts for what other routers have running there, from 0
   * (all servers taken for equally loaded by them) to 1.
   */
  reportTrust: number;
  /** Cost of leaving the failure domain, in units of utilisation. */
  remoteCost: number;
  /** Candidates within this much of the lowest cost are as good. */
  tolerance: number;
  /** Number of candidates named in the explanation. */
  explainedCandidates: number;
}

export const defaultBackendChoiceOptions: BackendChoiceOptions = {
  recomputeCost: 0.05,
  affinityHeadroom: 1,
  reportTrust: 0.2,
  remoteCost: 0.2,
  tolerance: 0.02,
  explainedCandidates: 12,
};

export interface BackendChoiceInput extends OwnLoad {
  candidates: readonly BackendEntry[];
  /** Monotonic milliseconds. */
  now: number;
  /** Of this instance. */
  failureDomain: string;
  /** Length of the prompt; an ordinary one where it is left out. */
  promptTokens?: number;
  /** Share of the prompt that is cached there, from 0 to 1. */
  prefixHitRatio: (name: string) => number;
  health: (name: string) => BackendHealth;
  /** Servers that earlier attempts of the request have tried. */
  exclude: ReadonlySet<string>;
  /** Uniform in [0, 1). */
  random: () => number;
  options?: Partial<BackendChoiceOptions>;
}

export type ChoiceReason =
  'chosen' | 'nearLowestCost' | 'higherCost' | 'ejected' | 'excluded';

export interface ConsideredBackend {
  name: string;
  /** Cost; infinite for those that were ruled out. */
  score: number;
  why: ChoiceReason;
}

export interface BackendChoice {
  backend?: BackendEntry;
  /** Cheapest first, the chosen one among them; bounded in number. */
  considered: ConsideredBackend[];
}

const ordinaryPromptTokens = 1_000;

interface Scored {
  entry: BackendEntry;
  cost: number;
}

export function chooseBackend(input: BackendChoiceInput): BackendChoice {
  const options = {...defaultBackendChoiceOptions, ...input.options};
  const ruledOut: ConsideredBackend[] = [];
  const usable: UsableBackend[] = [];
  for (const entry of input.candidates) {
    const {name} = entry.announcement;
    const {ejected, weight} = input.health(name);
    const why = input.exclude.has(name) ? 'excluded' : 'ejected';
    if (ejected || why === 'excluded') {
      ruledOut.push({name, score: Infinity, why});
    } else {
      usable.push({entry, weight});
    }
  }
  const scored = withCosts(
    utilisations(usable, input, options),
    input,
    options,
  );
  const chosen = pick(scored, input.random, options);
  return {
    backend: chosen?.entry,
    considered: explain(scored, chosen, ruledOut, options),
  };
}

function withCosts(
  candidates: readonly Utilisation[],
  {
    prefixHitRatio: prefixHits,
    failureDomain,
    promptTokens = ordinaryPromptTokens,
  }: BackendChoiceInput,
  options: BackendChoiceOptions,
): Scored[] {
  const recomputeCost = (options.recomputeCost * promptTokens) / 1_000;
  let lowest = Infinity;
  for (const {reportedUtilisation} of candidates) {
    lowest = Math.min(lowest, reportedUtilisation);
  }
  const affinityLimit = lowest + options.affinityHeadroom;
  return candidates.map(({entry, utilisation, reportedUtilisation}) => {
    const {name, failureDomain: domain} = entry.announcement;
    const hits = reportedUtilisation <= affinityLimit ? prefixHits(name) : 0;
    const cost =
      utilisation +
      recomputeCost * (1 - hits) +
      (domain === failureDomain ? 0 : options.remoteCost);
    return {entry, cost};
  });
}

function pick(
  scored: readonly Scored[],
  random: () => number,
  {tolerance}: BackendChoiceOptions,
): Scored | undefined {
  let lowest = Infinity;
  for (const {cost} of scored) lowest = Math.min(lowest, cost);
  const best = scored.filter(({cost}) => cost <= lowest + tolerance);
  return best[Math.floor(random() * best.length)];
}

function explain(
  scored: readonly Scored[],
  chosen: Scored | undefined,
  ruledOut: readonly ConsideredBackend[],
  {tolerance, explainedCandidates}: BackendChoiceOptions,
): ConsideredBackend[] {
  const cheapest = lowestCosts(scored, explainedCandidates);
  const limit = (cheapest[0]?.cost ?? 0) + tolerance;
  if (chosen && !cheapest.includes(chosen)) {
    cheapest[cheapest.length - 1] = chosen;
  }
  const named = cheapest.map((candidate): ConsideredBackend => {
    const {entry, cost} = candidate;
    const near = cost <= limit ? 'nearLowestCost' : 'higherCost';
    return {
      name: entry.announcement.name,
      score: cost,
      why: candidate === chosen ? 'chosen' : near,
    };
  });
  return [...named, ...ruledOut].slice(0, explainedCandidates);
}

/** The cheapest few in order, without sorting all. */
function lowestCosts(scored: readonly Scored[], count: number): Scored[] {
  const lowest: Scored[] = [];
  for (const candidate of scored) {
    const last = lowest[lowest.length - 1];
    if (lowest.length === count && last && candidate.cost >= last.cost) {
      continue;
    }
    let place = lowest.length;
    while (place > 0 && lowest[place - 1]!.cost > candidate.cost) place -= 1;
    lowest.splice(place, 0, candidate);
    if (lowest.length > count) lowest.pop();
  }
  return lowest;
}
