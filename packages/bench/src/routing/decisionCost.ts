/** @fileoverview Measures the time of one routing decision in microseconds. */
import {type Announcement} from '@dogwoodtrestle/schema';
import {
  chooseBackend,
  BackendDirectory,
  LoadTracker,
  OutlierDetector,
  PrefixIndex,
  SlowStart,
} from '@dogwoodtrestle/routing';

import {seededRandom} from '../util/random.js';
import {type Row} from '../util/table.js';
import {DelayHistogram} from './measurements.js';
import {ModelServer} from './modelServer.js';
import {VirtualTime} from './virtualTime.js';

const warmUpDecisions = 2_000;
const measuredDecisions = 5_000;
const promptBlocks = 90;
/** Share of the servers that have the prompt cached. */
const cachingShare = 0.2;

/** Returns one row for each number of servers. */
export function measureDecisions(serverCounts: readonly number[]): Row[] {
  return serverCounts.map(serverCount => {
    const decide = createDecision(serverCount);
    for (let count = 0; count < warmUpDecisions; count += 1) decide();
    const delays = new DelayHistogram();
    for (let count = 0; count < measuredDecisions; count += 1) {
      const start = performance.now();
      decide();
      delays.record(performance.now() - start);
    }
    return {
      servers: serverCount,
      'p50 us': delays.percentile(50) * 1_000,
      'p95 us': delays.percentile(95) * 1_000,
      'p99 us': delays.percentile(99) * 1_000,
    };
  });
}

/** Creates announcements of modelled servers with random load. */
export function createAnnouncements(
  count: number,
  random: () => number,
): Announcement[] {
  const time = new VirtualTime();
  return Array.from({length: count}, (_, index) => {
    const domain = `domain-${index % 4}`;
    const server = new ModelServer(`server-${index}`, domain, time, random);
    const announcement = server.announce(true);
    const running = Math.floor(random() * 16);
    return {...announcement, load: {...announcement.load, running}};
  });
}

/**
 * Returns a function that makes one whole decision: candidates, cache hints,
 * health and choice.
 */
function createDecision(serverCount: number): () => void {
  const random = seededRandom(serverCount);
  const directory = new BackendDirectory();
  const tracker = new LoadTracker();
  const prefixes = new PrefixIndex();
  const outliers = new OutlierDetector();
  const slowStart = new SlowStart(0);
  const blocks = Array.from({length: promptBlocks}, (_, index) => `b${index}`);
  for (const announcement of createAnnouncements(serverCount, random)) {
    directory.observe(announcement, 0);
    prefixes.observe(announcement);
    slowStart.observe(announcement, 0);
    const {name} = announcement;
    if (random() < cachingShare) prefixes.recordSent(name, blocks, 0);
    tracker.start(name, 'attempt', 0);
  }
  return () => {
    chooseBackend({
      candidates: directory.candidates({kind: 'model', name: 'm'}, 1),
      now: 1,
      inFlight: name => tracker.inFlight(name),
      loadCorrection: entry => tracker.loadCorrection(entry),
      failureDomain: 'domain-0',
      promptTokens: 6_000,
      prefixHitRatio: name => prefixes.hitRatio(name, blocks, 1),
      health: name => ({
        ejected: outliers.isEjected(name, 1),
        weight: slowStart.weight(name, 1),
      }),
      exclude: new Set(),
      random,
    });
  };
}
