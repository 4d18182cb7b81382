/**
 * @fileoverview Chooses the peers of one gossip round: mostly of the own
 * region, and now and then a far one, a silent one or a seed, so that news
 * cross regions and a healed cut is noticed.
 */
import {type InstanceStatus} from './instanceTable.js';
import {peerAddressOf} from './instanceRecord.js';

export interface PeerChoiceOptions {
  /** Peers per round. */
  fanout: number;
  /** Probability that a round also asks a peer of another region. */
  crossRegionProbability: number;
  /** Probability that a round also asks a silent instance or a seed. */
  rejoinProbability: number;
}

export const defaultPeerChoiceOptions: PeerChoiceOptions = {
  fanout: 2,
  crossRegionProbability: 0.25,
  rejoinProbability: 0.1,
};

export interface PeerChoiceInput {
  self: {name: string; region: string};
  /** Own peer address, never chosen. */
  selfAddress: string;
  instances: readonly InstanceStatus[];
  /** Peer addresses from the settings. */
  seeds: readonly string[];
  /** Uniform in [0, 1). */
  random: () => number;
}

/** Peer addresses to ask in this round, each once. */
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
  const near = addressesOf(live.filter(({record}) => isNear(record, self)));
  const far = addressesOf(live.filter(({record}) => !isNear(record, self)));
  const known = new Set([...near, ...far]);
  const absent = [
    ...addressesOf(others.filter(({state}) => state === 'silent')),
    ...input.seeds,
  ].filter(address => !known.has(address));
  const chosen = new Set(sample(near, fanout, random));
  // A lone instance of a region has only far peers.
  const farCount = near.length === 0 ? fanout : 1;
  if (near.length === 0 || random() < crossRegionProbability) {
    for (const each of sample(far, farCount, random)) chosen.add(each);
  }
  if (known.size === 0 || random() < rejoinProbability) {
    for (const each of sample(absent, 1, random)) chosen.add(each);
  }
  chosen.delete(selfAddress);
  return [...chosen];
}

function isNear(record: {region: string}, self: {region: string}): boolean {
  return record.region === self.region;
}

function addressesOf(instances: readonly InstanceStatus[]): string[] {
  return instances.map(({record}) => peerAddressOf(record));
}

/** That many items, drawn without replacement. */
function sample<T>(
  items: readonly T[],
  count: number,
  random: () => number,
): T[] {
  const left = [...items];
  const drawn: T[] = [];
  while (left.length > 0 && drawn.length < count) {
    const [item] = left.splice(Math.floor(random() * left.length), 1);
    drawn.push(item as T);
  }
  return drawn;
}
