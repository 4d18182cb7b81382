/**
 * @fileoverview What a router has seen of the speeds of servers and hasn't told a
 * leader yet.
 *
 * Samples go in numbered batches. A batch doesn't change once it was sent, and is
 * sent again until a leader confirms it, so a leader that counts each number once
 * counts each sample once.
 */
import {type ServerObservation, type SpeedReport} from '@dogwoodtrestle/schema';

import {addSums, emptySums, type SpeedSums} from './serverSpeeds.js';

/** Names one incarnation of a server. */
export type SampledServer = Pick<
  ServerObservation,
  'server' | 'startedAt' | 'service'
>;

/** Most servers in one batch. */
const maxBatchServers = 64;

/** Most servers in one report, of its batch and of the open requests each. */
const maxOpenServers = 64;

/** Most servers of which samples are kept; those of further servers are lost. */
const maxWaitingServers = 2_000;

/** Time after which an unconfirmed batch is too old to tell of the present. */
const maxBatchAgeMilliseconds = 10_000;

/** Sums in a message. */
type SumList = NonNullable<ServerObservation['sums']>;

/** A report, and what to call once a leader has received it. */
export interface NumberedReport {
  report: Pick<SpeedReport, 'sequence' | 'batch' | 'servers'>;
  confirm: () => void;
}

interface Batch {
  number: number;
  createdAt: number;
  observations: ReadonlyMap<string, ServerObservation>;
}

/** Collects samples by server until a leader has received them. */
export class SpeedSamples {
  private waiting = new Map<string, SampledServer & {sums: SpeedSums}>();
  private batch?: Batch;
  private batchCount = 0;
  private sequence = 0;

  /** Adds samples of a server. */
  add(server: SampledServer, sums: SpeedSums): void {
    const key = keyOf(server);
    let known = this.waiting.get(key);
    if (known === undefined) {
      if (this.waiting.size >= maxWaitingServers) return;
      known = {...server, sums: emptySums()};
      this.waiting.set(key, known);
    }
    addSums(known.sums, sums);
  }

  /**
   * Returns the report of a watch call.
   *
   * @param open Servers with open requests of this router.
   */
  report(open: readonly ServerObservation[], now: number): NumberedReport {
    const batch = this.currentBatch(now);
    const merged = new Map(batch.observations);
    const busiest =
      open.length <= maxOpenServers
        ? open
        : [...open]
            .sort((a, b) => b.openRequests - a.openRequests)
            .slice(0, maxOpenServers);
    for (const observation of busiest) {
      const key = keyOf(observation);
      const sums = merged.get(key)?.sums;
      merged.set(
        key,
        sums === undefined ? observation : {...observation, sums},
      );
    }
    const {number} = batch;
    const servers = [...merged.values()];
    return {
      report: {sequence: ++this.sequence, batch: number, servers},
      confirm: () => {
        if (this.batch?.number === number) this.batch = undefined;
      },
    };
  }

  private currentBatch(now: number): Batch {
    const {batch} = this;
    const isCurrent =
      batch !== undefined && now - batch.createdAt < maxBatchAgeMilliseconds;
    if (isCurrent) return batch;
    const observations = new Map<string, ServerObservation>();
    for (const [key, {sums, ...server}] of this.waiting) {
      if (observations.size >= maxBatchServers) break;
      this.waiting.delete(key);
      const list = listSums(sums);
      observations.set(key, {...server, openRequests: 0, sums: list});
    }
    const number = ++this.batchCount;
    this.batch = {number, createdAt: now, observations};
    return this.batch;
  }
}

/** Largest sum that a message may have. */
const maxSum = 1e15;

/** Returns sums as a list, for a message. */
export function listSums(sums: SpeedSums): SumList {
  return [
    toListed(sums.count),
    toListed(sums.tokens),
    toListed(sums.milliseconds),
    toListed(sums.tokensSquared),
    toListed(sums.tokenMilliseconds),
    toListed(sums.refusals),
    toListed(sums.gaps),
    toListed(sums.gapMilliseconds),
  ];
}

function toListed(sum: number): number {
  return Math.min(maxSum, Math.max(0, Math.round(sum)));
}

/** Reads sums from the list of a message. */
export function readSums(list: SumList): SpeedSums {
  const [count, tokens, milliseconds, ...rest] = list;
  const [tokensSquared, tokenMilliseconds, refusals, ...pauses] = rest;
  const [gaps, gapMilliseconds] = pauses;
  return {
    count,
    tokens,
    milliseconds,
    tokensSquared,
    tokenMilliseconds,
    refusals,
    gaps,
    gapMilliseconds,
  };
}

/** Returns the name of one incarnation of a server. */
export function keyOf({
  server,
  startedAt,
}: Pick<SampledServer, 'server' | 'startedAt'>): string {
  return `${server}@${startedAt}`;
}
