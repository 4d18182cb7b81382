/**
 * @fileoverview The mix of requests: lot quality summaries, buyer questions and
 * bid tags of a barley desk; rental agreements, short chats and readiness
 * checks of a tent rental.
 */
import {type Priority} from '@dogwoodtrestle/routing';

import {seededRandom, weightedIndex} from '../util/random.js';
import {blockTokens} from './modelServer.js';

interface RequestKind {
  name: string;
  weight: number;
  priority: Priority;
  /** Documents that prompts of the kind start with. */
  documents: number;
  /** Tokens of such a document, shared by the prompts that start with it. */
  sharedTokens: number;
  ownTokens: number;
  outputTokens: number;
  deadlineMilliseconds: number;
}

export const requestKinds: readonly RequestKind[] = [
  {
    name: 'lotSummary',
    weight: 8,
    priority: 'urgent',
    documents: 4,
    sharedTokens: 384,
    ownTokens: 800,
    outputTokens: 250,
    deadlineMilliseconds: 15_000,
  },
  {
    name: 'buyerQuestion',
    weight: 22,
    priority: 'normal',
    documents: 4,
    sharedTokens: 256,
    ownTokens: 150,
    outputTokens: 120,
    deadlineMilliseconds: 10_000,
  },
  {
    name: 'bidTag',
    weight: 23,
    priority: 'background',
    documents: 1,
    sharedTokens: 128,
    ownTokens: 40,
    outputTokens: 8,
    deadlineMilliseconds: 10_000,
  },
  {
    name: 'agreement',
    weight: 15,
    priority: 'normal',
    documents: 80,
    sharedTokens: 5_760,
    ownTokens: 200,
    outputTokens: 200,
    deadlineMilliseconds: 20_000,
  },
  {
    name: 'shortChat',
    weight: 20,
    priority: 'normal',
    documents: 6,
    sharedTokens: 192,
    ownTokens: 100,
    outputTokens: 60,
    deadlineMilliseconds: 10_000,
  },
  {
    name: 'readinessCheck',
    weight: 12,
    priority: 'urgent',
    documents: 2,
    sharedTokens: 64,
    ownTokens: 50,
    outputTokens: 10,
    deadlineMilliseconds: 5_000,
  },
];

const agreement = requestKinds.find(({name}) => name === 'agreement')!;

/** Shares of the requests; the first customer wants much more than others. */
export const customerWeights: Record<string, number> = {
  millA: 50,
  millB: 10,
  growers: 10,
  tentsNorth: 15,
  tentsSouth: 15,
};

export interface GeneratedRequest {
  kind: RequestKind;
  customer: string;
  workspace: string;
  blocks: readonly string[];
  promptTokens: number;
  outputTokens: number;
}

/** Repeatable stream of requests. */
export class Workload {
  private readonly random: () => number;
  private readonly documents = new Map<string, readonly string[]>();
  private count = 0;

  /** @param hotShare Share of the requests that paste the same agreement. */
  constructor(
    seed: number,
    private readonly hotShare = 0,
  ) {
    this.random = seededRandom(seed);
  }

  next(): GeneratedRequest {
    this.count += 1;
    const isHot = this.hotShare > 0 && this.random() < this.hotShare;
    const kind = isHot ? agreement : this.drawKind();
    const customers = Object.keys(customerWeights);
    const customerIndex = weightedIndex(
      Object.values(customerWeights),
      this.random,
    );
    return {
      kind,
      customer: customers[customerIndex]!,
      workspace: this.random() < 0.8 ? 'large' : 'small',
      blocks: [...this.document(kind, isHot), ...this.ownBlocks(kind)],
      promptTokens: kind.sharedTokens + kind.ownTokens,
      outputTokens: Math.max(
        1,
        Math.round(kind.outputTokens * (0.5 + this.random())),
      ),
    };
  }

  private drawKind(): RequestKind {
    const weights = requestKinds.map(({weight}) => weight);
    return requestKinds[weightedIndex(weights, this.random)]!;
  }

  /** A shared document, the first ones asked for most often (Zipf). */
  private document(kind: RequestKind, isFirst: boolean): readonly string[] {
    const weights = Array.from(
      {length: kind.documents},
      (_, index) => 1 / (index + 1),
    );
    const index = isFirst ? 0 : weightedIndex(weights, this.random);
    const name = `${kind.name}${index}`;
    let blocks = this.documents.get(name);
    if (!blocks) {
      const length = kind.sharedTokens / blockTokens;
      blocks = Array.from({length}, (_, index) => `${name}.${index}`);
      this.documents.set(name, blocks);
    }
    return blocks;
  }

  private ownBlocks({ownTokens}: RequestKind): string[] {
    const length = Math.floor(ownTokens / blockTokens);
    return Array.from({length}, (_, index) => `${this.count}.${index}`);
  }
}
