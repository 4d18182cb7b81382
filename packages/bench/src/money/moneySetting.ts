/** @fileoverview The two users' settings for the money benchmark. */
import {type PartitionTerms} from '@dogwoodtrestle/schema';

/** A kind of request and the distribution of its sizes. */
export interface RequestKind {
  /** Relative frequency. */
  weight: number;
  /** Mean prompt size in bytes. */
  promptBytes: number;
  /** Output limit that the caller sets, in tokens. */
  maximumOutputTokens: number;
  /** Mean output in tokens. */
  outputTokens: number;
}

/** Routers, traffic and prices of one user. Prices are in micros per token. */
export interface MoneySetting {
  name: string;
  /** Failure domain of each router. */
  routers: string[];
  /** Relative request rate of each customer. */
  customerWeights: number[];
  requestsPerSecond: number;
  kinds: RequestKind[];
  bytesPerToken: number;
  inputPrice: number;
  outputPrice: number;
  partition: PartitionTerms;
}

/** Short grants: overspend is worse than a refusal. */
export const barleyDesk: MoneySetting = {
  name: 'barley desk',
  routers: ['kam-a', 'kam-a', 'kam-b', 'pg', 'dc', 'dc'],
  customerWeights: [6, 3, 1],
  requestsPerSecond: 3,
  kinds: [
    {weight: 2, promptBytes: 4000, maximumOutputTokens: 600, outputTokens: 260},
    {weight: 5, promptBytes: 500, maximumOutputTokens: 400, outputTokens: 120},
    {weight: 3, promptBytes: 200, maximumOutputTokens: 16, outputTokens: 5},
  ],
  bytesPerToken: 3.8,
  inputPrice: 1,
  outputPrice: 4,
  partition: {
    servingSeconds: 60,
    grantPercent: 30,
    exhaustionWaitMilliseconds: 2000,
  },
};

/** Long grants: a refusal is worse than a slow confirmation. */
export const tentCommons: MoneySetting = {
  name: 'tent commons',
  routers: ['north', 'north', 'south', 'south', 'east', 'east', 'west', 'west'],
  customerWeights: [5, 4, 1],
  requestsPerSecond: 3,
  kinds: [
    {
      weight: 1,
      promptBytes: 30_000,
      maximumOutputTokens: 800,
      outputTokens: 300,
    },
    {weight: 6, promptBytes: 150, maximumOutputTokens: 300, outputTokens: 80},
    {weight: 3, promptBytes: 80, maximumOutputTokens: 64, outputTokens: 20},
  ],
  bytesPerToken: 3.2,
  inputPrice: 1,
  outputPrice: 4,
  partition: {
    servingSeconds: 900,
    grantPercent: 60,
    exhaustionWaitMilliseconds: 5000,
  },
};
