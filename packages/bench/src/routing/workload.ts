/**
 * @fileoverview Generates the request mix of the routing benchmarks: lot
 * quality summaries, buyer questions and bid tags of a barley desk; rental
 * agreements, short chats and readiness checks of a tent rental.
 */
import {type Priority} from '@dogwoodtrestle/routing';

import {seededRandom, weightedIndex} from '../util/random.js';
import {blockTokens} from './modelServer.js';

/** A kind of request and its sizes. */
interface RequestKind {
  name: string;
  weight: number;
  priority: Priority;
  /** Number of documents that prompts of this kind can start with. */
  documents: number;
  /** Tokens of one document, the shared prefix of its prompts. */
  sharedTokens: number;
  /** Prompt tokens after the shared prefix, different in each request. */
  uniqueTokens: number;
  outputTokens: number;
  deadlineMilliseconds: number;
}

/** Request kinds; `weight` is the relative frequency. */
export const requestKinds: readonly RequestKind[] = [
  {
    name: 'lotSummary',
    weight: 8,
    priority: 'urgent',
    documents: 4,
    sharedTokens: 384,
    uniqueTokens: 800,
    outputTokens: 250,
    deadlineMilliseconds: 15_000,
  },
  {
    name: 'buyerQuestion',
    weight: 22,
    priority: 'normal',
    documents: 4,
    sharedTokens: 256,
    uniqueTokens: 150,
    outputTokens: 120,
    deadlineMilliseconds: 10_000,
  },
  {
    name: 'bidTag',
    weight: 23,
    priority: 'background',
    documents: 1,
    sharedTokens: 128,
    uniqueTokens: 40,
    outputTokens: 8,
    deadlineMilliseconds: 10_000,
  },
  {
    name: 'agreement',
    weight: 15,
    priority: 'normal',
    documents: 80,
    sharedTokens: 5_760,
    uniqueTokens: 200,
    outputTokens: 200,
    deadlineMilliseconds: 20_000,
  },
  {
    name: 'shortChat',
    weight: 20,
    priority: 'normal',
    documents: 6,
    sharedTokens: 192,
    uniqueTokens: 100,
    outputTokens: 60,
    deadlineMilliseconds: 10_000,
  },
  {
    name: 'readinessCheck',
    weight: 12,
    priority: 'urgent',
    documents: 2,
    sharedTokens: 64,
    uniqueTokens: 50,
    outputTokens: 10,
    deadlineMilliseconds: 5_000,
  },
];

const hotKind = requestKinds.find(({name}) => name === 'agreement')!;

/** Relative request rates; the first customer sends far more than others. */
export const customerWeights: Record<string, number> = {
  millA: 50,
  millB: 10,
  growers: 10,
  tentsNorth: 15,
  tentsSouth: 15,
};

/** One request of the workload. */
export interface GeneratedRequest {
  kind: RequestKind;
  customer: string;
  workspace: string;
  blocks: readonly string[];
  promptTokens: number;
  outputTokens: number;
}

/** Deterministic stream of requests. */
export class Workload {
  private readonly random: () => number;
  private readonly documents = new Map<string, readonly string[]>();
  private count = 0;

  /**
   * @param hotDocumentShare Share of the requests that start with the same
   *     agreement, from 0 to 1.
   */
  constructor(
    seed: number,
    private readonly hotDocumentShare = 0,
  ) {
    this.random = seededRandom(seed);
  }

  next(): GeneratedRequest {
    this.count += 1;
    const isHotDocument =
      this.hotDocumentShare > 0 && this.random() < this.hotDocumentShare;
    const kind = isHotDocument ? hotKind : this.sampleKind();
    const customers = Object.keys(customerWeights);
    const customerIndex = weightedIndex(
      Object.values(customerWeights),
      this.random,
    );
    return {
      kind,
      customer: customers[customerIndex]!,
      workspace: this.random() < 0.8 ? 'large' : 'small',
      blocks: [
        ...this.sharedBlocks(kind, isHotDocument),
        ...this.uniqueBlocks(kind),
      ],
      promptTokens: kind.sharedTokens + kind.uniqueTokens,
      outputTokens: Math.max(
        1,
        Math.round(kind.outputTokens * (0.5 + this.random())),
      ),
    };
  }

  private sampleKind(): RequestKind {
    const weights = requestKinds.map(({weight}) => weight);
    return requestKinds[weightedIndex(weights, this.random)]!;
  }

  /** Blocks of a shared document, picked with a Zipf distribution. */
  private sharedBlocks(
    kind: RequestKind,
    isHotDocument: boolean,
  ): readonly string[] {
    const weights = Array.from(
      {length: kind.documents},
      (_, index) => 1 / (index + 1),
    );
    const index = isHotDocument ? 0 : weightedIndex(weights, this.random);
    const name = `${kind.name}${index}`;
    let blocks = this.documents.get(name);
    if (!blocks) {
      const length = kind.sharedTokens / blockTokens;
      blocks = Array.from({length}, (_, index) => `${name}.${index}`);
      this.documents.set(name, blocks);
    }
    return blocks;
  }

  private uniqueBlocks({uniqueTokens}: RequestKind): string[] {
    const length = Math.floor(uniqueTokens / blockTokens);
    return Array.from({length}, (_, index) => `${this.count}.${index}`);
  }
}
