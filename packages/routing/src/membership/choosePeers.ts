/**
 * @fileoverview Chooses the peers of one gossip round: mostly of the same
 * region, and at random one of another region, so that updates reach all
 * regions, and a silent instance or a seed, so that a partition is repaired
 * once the network is back.
 */
import {type InstanceStatus} from './instanceTable.js';
import {peerAddressOf} from './instanceRecord.js';

/** Number and mix of the peers. */
export interface PeerChoiceOptions {
  /** Peers of the same region per round. */
  fanout: number;
  /** Probability that a round also asks a peer of another region. */
  crossRegionProbability: number;
  /** Probability that a round also asks a silent instance or a seed. */
  rejoinProbability: number;
}

/** Default number and mix. */
export const defaultPeerChoiceOptions: PeerChoiceOptions = {
  fanout: 2,
  crossRegionProbability: 0.25,
  rejoinProbability: 0.1,
};

/** Instances to choose from. */
export interface PeerChoiceInput {
  /** Name and region of this instance. */
  self: {name: string; region: string};
  /** Peer address of this instance; never chosen. */
  selfAddress: string;
  /** Known instances; may include this one. */
  instances: readonly InstanceStatus[];
  /** Peer addresses from the settings. */
  seeds: readonly string[];
  /** Returns uniform numbers in [0, 1). */
  random: () => number;
}

/** Returns the distinct peer addresses to ask in this round. */
export function choosePeers(
  input: PeerChoiceInput,
  options: Partial<PeerChoiceOptions> = {},
): string[] {
  const {fanout, crossRegionProbability, rejoinProbability} = {
    ...defaultPeerChoiceOptions,
    ...options,
  };
  const {self, selfAddress, random} = input;
  const others = input.instances.filter(
    ({record}) => record.name !== self.name,
  );
  const live = others.filter(({state}) => state !== 'silent');
  const sameRegion = addressesOf(
    live.filter(({record}) => isSameRegion(record, self)),
  );
  const otherRegions = addressesOf(
    live.filter(({record}) => !isSameRegion(record, self)),
  );
  const known = new Set([...sameRegion, ...otherRegions]);
  const rejoinCandidates = [
    ...addressesOf(others.filter(({state}) => state === 'silent')),
    ...input.seeds,
  ].filter(address => !known.has(address));
  const chosen = new Set(sample(sameRegion, fanout, random));
  // Without peers in its own region, an instance asks only other regions.
  const count = sameRegion.length === 0 ? fanout : 1;
  if (sameRegion.length === 0 || random() < crossRegionProbability) {
    for (const each of sample(otherRegions, count, random)) chosen.add(each);
  }
  if (known.size === 0 || random() < rejoinProbability) {
    for (const each of sample(rejoinCandidates, 1, random)) chosen.add(each);
  }
  chosen.delete(selfAddress);
  return [...chosen];
}

function isSameRegion(
  record: {region: string},
  self: {region: string},
): boolean {
  return record.region === self.region;
}

function addressesOf(instances: readonly InstanceStatus[]): string[] {
  return instances.map(({record}) => peerAddressOf(record));
}

/** Returns up to `count` items, sampled without replacement. */
function sample<T>(
  items: readonly T[],
  count: number,
  random: () => number,
): T[] {
  const remaining = [...items];
  const selected: T[] = [];
  while (remaining.length > 0 && selected.length < count) {
    const [item] = remaining.splice(Math.floor(random() * remaining.length), 1);
    selected.push(item as T);
  }
  return selected;
}
