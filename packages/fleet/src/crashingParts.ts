/**
 * @fileoverview Finds parts of prompts that crash backend servers, from what all
 * routers saw open at the servers that crashed.
 *
 * A server's crash ends everything that is open at it, and each router sees its
 * own requests only. Reports on the same incarnation are joined. A part is
 * suspected once it was open at crashes at several different times, and it
 * crashes servers if there are more and no router has had a whole answer to a
 * prompt with it: parts that many requests share are answered all the time.
 * Servers that crash at the same time count once, as they do when a failure
 * domain is lost, and so do retries of one prompt.
 */
import {type CrashReport} from '@dogwoodtrestle/schema';

/** Options of the search. */
export interface CrashingPartsOptions {
  /** Crashes within this time count as one. */
  sameTimeMilliseconds: number;
  /** Crashes at different times after which routers are asked for answers. */
  suspectCrashes: number;
  /** Crashes at different times after which a part is blocked. */
  blockCrashes: number;
  /** Different prompts from which a part is blocked; retries are the same. */
  blockPrompts: number;
  /** Time for routers to report a whole answer to a prompt with the part. */
  answerMilliseconds: number;
  /** Time after which a crash no longer counts. */
  memoryMilliseconds: number;
  /** Time for which a part that was answered is not suspected again. */
  answeredMilliseconds: number;
  /** Most parts that are remembered, those of single crashes included. */
  maxParts: number;
}

/** Default options. */
export const defaultCrashingPartsOptions: CrashingPartsOptions = {
  sameTimeMilliseconds: 200,
  suspectCrashes: 2,
  blockCrashes: 4,
  blockPrompts: 3,
  answerMilliseconds: 500,
  memoryMilliseconds: 60_000,
  answeredMilliseconds: 30_000,
  maxParts: 5_000,
};

/** Crashes of servers at about the same time. */
interface CrashGroup {
  at: number;
  /** Incarnations of servers, as `id@start`. */
  servers: Set<string>;
}

/** What is known against one part. */
interface Suspicion {
  groups: CrashGroup[];
  workspaces: Set<string>;
  /** Hashes of some of the prompts. */
  prompts: Set<number>;
  /** When routers were first asked for whole answers. */
  suspectedAt?: number;
}

/** A part that crashes servers, and whose requests have it. */
export interface CrashingPart {
  part: string;
  /** The only workspace that sent it; undefined for several. */
  workspace?: string;
  /** Number of servers that crashed. */
  crashes: number;
  servers: string[];
}

/** Evidence of all routers. Times are monotonic, in milliseconds. */
export class CrashingParts {
  private readonly options: CrashingPartsOptions;
  /** By part, in the order of their newest crash. */
  private readonly suspicions = new Map<string, Suspicion>();
  private readonly answeredAt = new Map<string, number>();

  constructor(options: Partial<CrashingPartsOptions> = {}) {
    this.options = {...defaultCrashingPartsOptions, ...options};
  }

  /** Parts of which routers should report whole answers. */
  suspects(): string[] {
    return [...this.suspicions]
      .filter(([, {suspectedAt}]) => suspectedAt !== undefined)
      .map(([part]) => part);
  }

  /** Records a router's report; returns parts that are suspected since then. */
  record(
    {server, startedAt, ageMilliseconds, parts}: CrashReport,
    now: number,
  ): string[] {
    const at = now - ageMilliseconds;
    const crash = {name: `${server}@${startedAt}`, at};
    const suspected: string[] = [];
    for (const {id, workspaces, prompts} of parts) {
      if (this.wasAnswered(id, now)) continue;
      const suspicion = this.suspicionOf(id, now);
      for (const workspace of workspaces) suspicion.workspaces.add(workspace);
      this.addPrompts(suspicion, prompts);
      addCrash(suspicion, crash, this.options.sameTimeMilliseconds);
      const isSuspect = suspicion.groups.length >= this.options.suspectCrashes;
      if (!isSuspect || suspicion.suspectedAt !== undefined) continue;
      suspicion.suspectedAt = now;
      suspected.push(id);
    }
    return suspected;
  }

  /** Records a whole answer to a prompt with a part; it crashes no server. */
  recordAnswer(part: string, now: number): void {
    this.suspicions.delete(part);
    this.answeredAt.delete(part);
    this.answeredAt.set(part, now);
    evictOldest(this.answeredAt, this.options.maxParts);
  }

  /** Removes what is known against a part, as when it is blocked. */
  forget(part: string): void {
    this.suspicions.delete(part);
  }

  /** Returns the parts that crash servers. */
  decided(now: number): CrashingPart[] {
    const {blockCrashes, blockPrompts, answerMilliseconds} = this.options;
    const decided: CrashingPart[] = [];
    for (const [part, suspicion] of this.suspicions) {
      const {groups, workspaces, prompts, suspectedAt} = suspicion;
      if (prompts.size < blockPrompts) continue;
      if (suspectedAt === undefined || groups.length < blockCrashes) continue;
      if (now - suspectedAt < answerMilliseconds) continue;
      const servers = [...new Set(groups.flatMap(group => [...group.servers]))];
      const [first] = workspaces;
      const workspace = workspaces.size === 1 ? first : undefined;
      decided.push({part, workspace, crashes: servers.length, servers});
    }
    return decided;
  }

  private addPrompts(
    {prompts: known}: Suspicion,
    prompts: readonly number[],
  ): void {
    for (const prompt of prompts) {
      if (known.size < this.options.blockPrompts) known.add(prompt);
    }
  }

  private wasAnswered(part: string, now: number): boolean {
    const at = this.answeredAt.get(part) ?? -Infinity;
    return now - at < this.options.answeredMilliseconds;
  }

  private suspicionOf(part: string, now: number): Suspicion {
    const known = this.suspicions.get(part);
    const suspicion: Suspicion = known ?? {
      groups: [],
      workspaces: new Set(),
      prompts: new Set(),
    };
    const oldest = now - this.options.memoryMilliseconds;
    suspicion.groups = suspicion.groups.filter(({at}) => at >= oldest);
    this.suspicions.delete(part);
    this.suspicions.set(part, suspicion);
    evictOldest(this.suspicions, this.options.maxParts);
    return suspicion;
  }
}

function addCrash(
  {groups}: Suspicion,
  {name, at}: {name: string; at: number},
  sameTimeMilliseconds: number,
): void {
  if (groups.some(({servers}) => servers.has(name))) return;
  const group = groups.find(
    other => Math.abs(other.at - at) < sameTimeMilliseconds,
  );
  if (group === undefined) groups.push({at, servers: new Set([name])});
  else group.servers.add(name);
}

function evictOldest<T>(map: Map<string, T>, limit: number): void {
  if (map.size <= limit) return;
  const [oldest] = map.keys();
  if (oldest !== undefined) map.delete(oldest);
}
