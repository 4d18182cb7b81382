/**
 * @fileoverview Ranks backend servers by rendezvous hashing, and draws some of
 * them, each with a chance proportional to its speed.
 *
 * Load pattern: every attempt needs the first few of some thousand servers for a
 * key that seldom repeats. All routers must find the same ones without
 * communication, and a server that comes, goes or changes its speed may move few
 * keys.
 *
 * Each server's hash with the key gives its arrival in a race that its weight
 * speeds up, so the others keep their order if one of them changes.
 */
import {hashName, mixHashes} from './rendezvous.js';
import {type SpeedSpread} from './speedSpread.js';

/** What servers are ranked by. */
export interface RankedServer {
  id: string;
  /** `hashName` of the id, if it is known. */
  idHash?: number;
  /** Speed relative to the service's mean, the same at all routers; or 1. */
  capacity?: number;
  /** Part of its full load that the server should get now; missing for 1. */
  pace?: number;
  /** Whether it is reserved for long prompts; missing if that isn't known. */
  isForLongPrompts?: boolean;
}

/** Options of the ranking. */
export interface ServerRankingOptions {
  /** Part of the servers that is reserved for long prompts. */
  longShare: number;
  /** Servers of the highest rank that are compared, of each kind, if uneven. */
  rankedServers: number;
  /** Servers that a request without a shared prefix is compared at. */
  sampledServers: number;
}

/** Default options of the ranking. */
export const defaultServerRankingOptions: ServerRankingOptions = {
  longShare: 0.25,
  rankedServers: 4,
  sampledServers: 16,
};

/** Least weight, so that a server of pace 0 is ranked last. */
export const minServerWeight = 1e-6;

/**
 * Returns the servers of the highest rank for a key, the first one first. A
 * server's chance to be first is proportional to its capacity and pace.
 */
export function rankServers<T extends RankedServer>(
  servers: readonly T[],
  key: string,
): T[] {
  const keyHash = hashName(key);
  return servers
    .map(server => ({server, score: score(server, keyHash)}))
    .sort((a, b) => a.score - b.score)
    .map(({server}) => server);
}

/** What the servers worth comparing follow from. */
export interface ShortlistRequest {
  /** Identifies a shared prefix; missing for a request without one. */
  affinityKey?: string;
  spread?: SpeedSpread;
}

/**
 * Returns the servers worth comparing. Of uneven ones those are of each kind the
 * ones of the highest rank for a key, in order. They are few, as all routers that
 * look for the least load in one view of the past would find the same server.
 */
export function shortlistServers<T extends RankedServer>(
  servers: readonly T[],
  {affinityKey: key, spread = 'even'}: ShortlistRequest,
  random: () => number,
  options: Partial<ServerRankingOptions> = {},
): readonly T[] {
  const {rankedServers, sampledServers} = {
    ...defaultServerRankingOptions,
    ...options,
  };
  if (key === undefined) return sample(servers, sampledServers, random);
  if (spread === 'even') return servers;
  const keyHash = hashName(key);
  const long = new Ranking<T>(rankedServers);
  const others = new Ranking<T>(rankedServers);
  for (const server of servers) {
    const ranking = server.isForLongPrompts === true ? long : others;
    ranking.add(server, score(server, keyHash));
  }
  return [...long.servers, ...others.servers];
}

function sample<T>(
  items: readonly T[],
  count: number,
  random: () => number,
): readonly T[] {
  if (items.length <= count) return items;
  const drawn = Array.from(
    {length: count},
    () => items[Math.floor(random() * items.length)]!,
  );
  return [...new Set(drawn)];
}

/** The servers of the least scores, the least one first. */
class Ranking<T> {
  readonly servers: T[] = [];
  private readonly scores: number[] = [];

  constructor(private readonly size: number) {}

  add(server: T, score: number): void {
    const {servers, scores, size} = this;
    if (scores.length === size) {
      if (size === 0 || score >= scores[size - 1]!) return;
      servers.pop();
      scores.pop();
    }
    let place = scores.length;
    while (place > 0 && scores[place - 1]! > score) place--;
    servers.splice(place, 0, server);
    scores.splice(place, 0, score);
  }
}

/**
 * Returns the ids of the servers for long prompts, the same at all routers; none
 * if there are few servers.
 */
export function longPromptServers(
  servers: readonly RankedServer[],
  share = defaultServerRankingOptions.longShare,
): ReadonlySet<string> {
  const count = Math.floor(servers.length * share);
  const first = rankServers(servers, 'long').slice(0, count);
  return new Set(first.map(({id}) => id));
}

/**
 * Returns whether a server is reserved for long prompts, as the servers say or,
 * if none of them does, by their rank in this pool.
 */
export function longPromptTest(
  pool: readonly RankedServer[],
  {longShare}: Pick<ServerRankingOptions, 'longShare'>,
): (server: RankedServer) => boolean {
  const isKnown = pool.some(server => server.isForLongPrompts !== undefined);
  if (isKnown) return server => server.isForLongPrompts === true;
  const ids = longPromptServers(pool, longShare);
  return server => ids.has(server.id);
}

/** Draws two servers, each with a chance proportional to its weight. */
export function drawTwo<T extends RankedServer>(
  pool: readonly T[],
  random: () => number,
): readonly T[] {
  if (pool.length <= 2) return pool;
  const raced = pool.map(server => ({
    server,
    score: -Math.log(1 - random()) / serverWeight(server),
  }));
  raced.sort((a, b) => a.score - b.score);
  return raced.slice(0, 2).map(({server}) => server);
}

/** Returns the arrival of a server in a race that weights decide: less wins. */
function score(server: RankedServer, keyHash: number): number {
  const idHash = server.idHash ?? hashName(server.id);
  const share = (mixHashes(keyHash, idHash) + 1) / (2 ** 32 + 1);
  return -Math.log(share) / serverWeight(server);
}

/** Returns by which factor a server gets more requests than an average one. */
export function serverWeight(server: RankedServer): number {
  const weight = (server.capacity ?? 1) * (server.pace ?? 1);
  return Math.max(minServerWeight, weight);
}
