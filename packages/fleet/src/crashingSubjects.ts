/**
 * @fileoverview Finds parts of prompts and requests that crash backend servers,
 * from what all routers saw open at the servers that crashed.
 *
 * A server's crash ends everything that is open at it, and each router sees its
 * own requests only. Reports on the same incarnation are joined. A subject is
 * suspected once it was open at crashes at several different times, and it
 * crashes servers if there are more and no router has had a whole answer with
 * it: what is harmless is answered all the time. Servers that crash at the same
 * time count once, as they do when a failure domain is lost. A network that fails
 * looks like a crash to routers, so a crash counts at once, and no more when the
 * incarnation is announced afterwards.
 *
 * A part crashes servers if different requests with it do; retries of a request
 * count once. One that was only seen in prompts that had certain others as well is
 * blocked together with them: which of them crashes servers isn't known, and
 * prompts that have some of them are sound as far as is known. Such prompts tell
 * them apart: a whole answer clears what they have, and a crash without the others
 * blocks it alone. A request does if no other subject was open at all its crashes, as
 * what was only sent together with it may be. Crashes without a subject raise the
 * number that it takes, as servers crash for other reasons then. Crashes that a
 * blocked subject explains count against no other.
 */
import {type CrashReport} from '@dogwoodtrestle/schema';

import {type CrashSubjectKind, subjectKind} from './crashSubject.js';
import {
  addCrash,
  crashesOf,
  hasCrashesOf,
  hasPromptsOf,
  hasServersOf,
  type Suspicion,
} from './crashSuspicion.js';

/** Options of the search. */
export interface CrashingSubjectsOptions {
  /**
   * Crashes within this time count as one: less for a request, which is at one
   * server at a time and may crash the next one soon.
   */
  sameTimeMilliseconds: Readonly<Record<CrashSubjectKind, number>>;
  /** Crashes at different times after which routers are asked for answers. */
  suspectCrashes: number;
  /** Crashes at different times after which a subject is blocked. */
  blockCrashes: Readonly<Record<CrashSubjectKind, number>>;
  /** Different requests from which a part is blocked; retries are the same. */
  blockPrompts: number;
  /** Crashes without a subject that raise the number for it by one. */
  otherCrashesPerExtra: number;
  /** Most by which they raise it. */
  maxExtraCrashes: Readonly<Record<CrashSubjectKind, number>>;
  /** Time about a subject's crashes in which those without it count. */
  otherCrashMilliseconds: number;
  /** Crashes of a request from which it is blocked whatever its parts are. */
  certainCrashes: number;
  /** Time for routers to report a whole answer with the subject. */
  answerMilliseconds: number;
  /** Time after which a crash no longer counts. */
  memoryMilliseconds: Readonly<Record<CrashSubjectKind, number>>;
  /** Time for which a subject that was answered is not suspected again. */
  answeredMilliseconds: number;
  /** Most subjects that are remembered, those of single crashes included. */
  maxSubjects: number;
}

/** Default options. */
export const defaultCrashingSubjectsOptions: CrashingSubjectsOptions = {
  sameTimeMilliseconds: {part: 200, request: 60},
  suspectCrashes: 2,
  blockCrashes: {part: 4, request: 3},
  blockPrompts: 3,
  otherCrashesPerExtra: 3,
  maxExtraCrashes: {part: 0, request: 4},
  otherCrashMilliseconds: 10_000,
  certainCrashes: 5,
  answerMilliseconds: 500,
  // A request comes again when its caller tries it again, which may be rare.
  memoryMilliseconds: {part: 60_000, request: 600_000},
  answeredMilliseconds: 30_000,
  maxSubjects: 5_000,
};

/** A subject that crashes servers, and whose requests have it. */
export interface CrashingSubject {
  subject: string;
  /** The only workspace that sent it; undefined for several. */
  workspace?: string;
  /** Number of servers that crashed. */
  crashes: number;
  servers: string[];
  /** Other parts that all its prompts had, one of which may be the cause. */
  companions: string[];
}

/** Weight of another crash that a blocked subject explains. */
const explainedWeight = 0.25;

/** Most crashes that are remembered for all subjects together. */
const maxCrashes = 1_000;

/** A crash as routers reported it. */
export interface ReportedCrash {
  server: string;
  startedAt: number;
  /** Monotonic time in milliseconds. */
  at: number;
}

/** Evidence of all routers. Times are monotonic, in milliseconds. */
export class CrashingSubjects {
  private readonly options: CrashingSubjectsOptions;
  /** By subject, in the order of their newest crash. */
  private readonly suspicions = new Map<string, Suspicion>();
  private readonly answeredAt = new Map<string, number>();
  /** All crashes, by the incarnation of the server. */
  private readonly crashes = new Map<string, ReportedCrash>();
  /** Crashes that a blocked subject explains. */
  private readonly explained = new Map<string, number>();
  /** Parts that are blocked only together, and since when. */
  private jointBlocks: Array<{parts: readonly string[]; at: number}> = [];
  private readonly isDecided: Readonly<
    Record<CrashSubjectKind, (subject: string, found: Suspicion) => boolean>
  > = {
    part: (_, {prompts}) => prompts.size >= this.options.blockPrompts,
    request: (subject, found) => this.isRequestDecided(subject, found),
  };

  constructor(options: Partial<CrashingSubjectsOptions> = {}) {
    this.options = {...defaultCrashingSubjectsOptions, ...options};
  }

  /** Subjects of which routers should report whole answers. */
  suspects(): string[] {
    return [...this.suspicions]
      .filter(([, {suspectedAt}]) => suspectedAt !== undefined)
      .map(([subject]) => subject);
  }

  /** Records a router's report; returns subjects suspected since then. */
  record(
    {server, startedAt, ageMilliseconds, parts}: CrashReport,
    now: number,
  ): string[] {
    const at = now - ageMilliseconds;
    const crash = {name: `${server}@${startedAt}`, at};
    if (!this.crashes.has(crash.name)) {
      this.crashes.set(crash.name, {server, startedAt, at});
    }
    evictOldest(this.crashes, maxCrashes);
    if (this.explained.has(crash.name)) return [];
    const suspected: string[] = [];
    for (const {id, workspaces, prompts} of parts) {
      if (this.wasAnswered(id, now)) continue;
      const suspicion = this.suspicionOf(id, now);
      for (const workspace of workspaces) suspicion.workspaces.add(workspace);
      this.addPrompts(suspicion, prompts);
      const sameTime = this.options.sameTimeMilliseconds[subjectKind(id)];
      addCrash(suspicion, {...crash, prompts}, sameTime);
      const isSuspect = suspicion.groups.length >= this.options.suspectCrashes;
      if (!isSuspect || suspicion.suspectedAt !== undefined) continue;
      suspicion.suspectedAt = now;
      suspected.push(id);
    }
    return suspected;
  }

  /** Records a whole answer with a subject; it crashes no server. */
  recordAnswer(subject: string, now: number): void {
    this.suspicions.delete(subject);
    this.dropJointBlocks(subject);
    this.answeredAt.delete(subject);
    this.answeredAt.set(subject, now);
    evictOldest(this.answeredAt, this.options.maxSubjects);
  }

  /**
   * Records that a crash is explained by a blocked subject that was open at it.
   *
   * @param now Time at which it was reported.
   */
  explain({server, startedAt}: CrashReport, now: number): void {
    this.explainAll([`${server}@${startedAt}`], now);
  }

  /**
   * Removes the crashes that are disproved, as their servers run, and returns their
   * names.
   */
  removeDisproved(isDisproved: (crash: ReportedCrash) => boolean): string[] {
    const names = [...this.crashes]
      .filter(([, crash]) => isDisproved(crash))
      .map(([name]) => name);
    for (const name of names) this.crashes.delete(name);
    if (names.length > 0) this.removeCrashes(names);
    return names;
  }

  /** Records that parts are blocked together; the evidence tells them apart. */
  recordJointBlock(parts: readonly string[], now: number): void {
    this.jointBlocks.push({parts, at: now});
  }

  /**
   * Removes what is known against a subject that is blocked, and what its crashes
   * are against others. A part that was open at all of them is still suspected:
   * other requests may have it as well.
   */
  forget(subject: string, now: number): void {
    this.dropJointBlocks(subject);
    const suspicion = this.suspicions.get(subject);
    this.suspicions.delete(subject);
    if (suspicion === undefined) return;
    const parts = [...this.suspicions]
      .filter(
        ([name, other]) =>
          subjectKind(name) === 'part' && hasCrashesOf(other, suspicion),
      )
      .map(([name]) => name);
    this.explainAll(crashesOf(suspicion), now, parts);
  }

  /** Returns the subjects that crash servers. */
  decided(now: number): CrashingSubject[] {
    const {answerMilliseconds, blockCrashes} = this.options;
    const found = new Map<string, Suspicion>();
    for (const [subject, suspicion] of this.suspicions) {
      const {groups, suspectedAt} = suspicion;
      if (suspectedAt === undefined) continue;
      if (now - suspectedAt < answerMilliseconds) continue;
      const kind = subjectKind(subject);
      if (groups.length < blockCrashes[kind]) continue;
      const extra = this.extraCrashes(suspicion, kind);
      const own = this.unsharedCrashes(subject, suspicion);
      if (own < blockCrashes[kind] + extra) continue;
      if (!this.isDecided[kind](subject, suspicion)) continue;
      found.set(subject, suspicion);
    }
    return [...found]
      .filter(([subject]) => !this.isExplainedBy(subject, found))
      .map(([subject, suspicion]) => this.describe(subject, suspicion));
  }

  private describe(subject: string, suspicion: Suspicion): CrashingSubject {
    const {workspaces} = suspicion;
    const servers = crashesOf(suspicion);
    const [first] = workspaces;
    const workspace = workspaces.size === 1 ? first : undefined;
    const companions = this.isTellingApart(subject)
      ? []
      : this.companionsOf(subject, suspicion);
    const crashes = servers.length;
    return {subject, workspace, crashes, servers, companions};
  }

  /** Returns the parts that all prompts of a part had at all its crashes. */
  private companionsOf(subject: string, suspicion: Suspicion): string[] {
    if (subjectKind(subject) === 'request') return [];
    return [...this.suspicions]
      .filter(
        ([name, other]) =>
          name !== subject &&
          subjectKind(name) === 'part' &&
          hasPromptsOf(other, suspicion),
      )
      .map(([name]) => name);
  }

  /**
   * Whether a part is a companion of another one that is found, and has too few
   * crashes besides, or only came with one that crashed a server alone. Of parts
   * that only come together, the last one is found.
   */
  private isExplainedBy(
    subject: string,
    found: ReadonlyMap<string, Suspicion>,
  ): boolean {
    const own = found.get(subject);
    const isPart = subjectKind(subject) === 'part';
    if (own === undefined || !isPart || this.isTellingApart(subject)) {
      return false;
    }
    const names = [...found.keys()];
    const position = names.indexOf(subject);
    return [...found].some(([other, suspicion], index) => {
      if (other === subject || subjectKind(other) !== 'part') return false;
      const hasOther = hasPromptsOf(suspicion, own);
      if (hasOther && this.isTellingApart(other)) return true;
      if (!hasPromptsOf(own, suspicion)) return false;
      if (hasOther) return index > position;
      const shared = new Set(crashesOf(suspicion));
      const besides = own.groups.filter(
        ({servers}) => ![...servers.keys()].some(name => shared.has(name)),
      );
      return besides.length < this.options.blockCrashes.part;
    });
  }

  /** Whether a part that is blocked only with others crashed a server without. */
  private isTellingApart(subject: string): boolean {
    const own = this.suspicions.get(subject);
    if (own === undefined) return false;
    return this.jointBlocks.some(({parts, at: blockedAt}) => {
      if (!parts.includes(subject)) return false;
      const others = parts.filter(part => part !== subject);
      return own.groups.some(
        group =>
          group.at > blockedAt &&
          others.some(other => {
            const suspicion = this.suspicions.get(other);
            const groups = suspicion?.groups ?? [];
            return !groups.some(one => hasServersOf(one, group));
          }),
      );
    });
  }

  private dropJointBlocks(subject: string): void {
    this.jointBlocks = this.jointBlocks.filter(
      ({parts}) => !parts.includes(subject),
    );
  }

  /** Crashes at which nothing else was open that has as many of them. */
  private unsharedCrashes(subject: string, suspicion: Suspicion): number {
    const crashes = crashesOf(suspicion).length;
    const names = new Set(
      this.otherCauses(subject)
        .map(crashesOf)
        .filter(({length}) => length >= crashes)
        .flat(),
    );
    return suspicion.groups.filter(
      ({servers}) => ![...servers.keys()].some(name => names.has(name)),
    ).length;
  }

  /**
   * Returns what else may be the cause of a subject's crashes: requests, and for
   * a request also the parts that different requests have, unless it has so many
   * crashes that its own parts can't be to blame.
   */
  private otherCauses(subject: string): Suspicion[] {
    const own = this.suspicions.get(subject);
    const isPart = subjectKind(subject) === 'part';
    const crashes = own?.groups.length ?? 0;
    const isCertain = isPart || crashes >= this.options.certainCrashes;
    return [...this.suspicions]
      .filter(
        ([name, {prompts}]) =>
          name !== subject &&
          (subjectKind(name) === 'request' || (!isCertain && prompts.size > 1)),
      )
      .map(([, suspicion]) => suspicion);
  }

  private isRequestDecided(subject: string, suspicion: Suspicion): boolean {
    return !this.otherCauses(subject).some(other =>
      hasCrashesOf(other, suspicion),
    );
  }

  /** Crashes by which those without the subject raise the number for it. */
  private extraCrashes(suspicion: Suspicion, kind: CrashSubjectKind): number {
    const {otherCrashesPerExtra, maxExtraCrashes} = this.options;
    const extra = this.otherCrashes(suspicion) / otherCrashesPerExtra;
    return Math.min(maxExtraCrashes[kind], Math.ceil(extra));
  }

  /** Number of times about its crashes at which servers crashed without it. */
  private otherCrashes(suspicion: Suspicion): number {
    const {otherCrashMilliseconds, sameTimeMilliseconds} = this.options;
    const own = new Set(crashesOf(suspicion));
    const times = suspicion.groups.map(({at}) => at);
    const from = Math.min(...times) - otherCrashMilliseconds;
    const to = Math.max(...times) + otherCrashMilliseconds;
    const others = [...this.crashes]
      .filter(([name, {at}]) => at > from && at < to && !own.has(name))
      .sort(([, a], [, b]) => a.at - b.at);
    let count = 0;
    let countedAt = -Infinity;
    for (const [name, {at}] of others) {
      if (at - countedAt < sameTimeMilliseconds.part) continue;
      countedAt = at;
      count += this.explained.has(name) ? explainedWeight : 1;
    }
    return count;
  }

  /** @param kept Subjects against which the crashes still count. */
  private explainAll(
    names: readonly string[],
    now: number,
    kept: readonly string[] = [],
  ): void {
    for (const name of names) this.explained.set(name, now);
    while (this.explained.size > maxCrashes) evictOldest(this.explained, 0);
    this.removeCrashes(names, kept);
  }

  private removeCrashes(
    names: readonly string[],
    kept: readonly string[] = [],
  ): void {
    for (const [subject, suspicion] of this.suspicions) {
      if (kept.includes(subject)) continue;
      for (const {servers} of suspicion.groups) {
        for (const name of names) servers.delete(name);
      }
      suspicion.groups = suspicion.groups.filter(
        ({servers}) => servers.size > 0,
      );
      if (suspicion.groups.length === 0) this.suspicions.delete(subject);
    }
  }

  private addPrompts(
    {prompts: known}: Suspicion,
    prompts: readonly number[],
  ): void {
    for (const prompt of prompts) {
      if (known.size < this.options.blockPrompts) known.add(prompt);
    }
  }

  private wasAnswered(subject: string, now: number): boolean {
    const at = this.answeredAt.get(subject) ?? -Infinity;
    return now - at < this.options.answeredMilliseconds;
  }

  private suspicionOf(subject: string, now: number): Suspicion {
    const known = this.suspicions.get(subject);
    const suspicion: Suspicion = known ?? {
      groups: [],
      workspaces: new Set(),
      prompts: new Set(),
    };
    const {memoryMilliseconds, maxSubjects} = this.options;
    const oldest = now - memoryMilliseconds[subjectKind(subject)];
    suspicion.groups = suspicion.groups.filter(({at}) => at >= oldest);
    this.suspicions.delete(subject);
    this.suspicions.set(subject, suspicion);
    evictOldest(this.suspicions, maxSubjects);
    return suspicion;
  }
}

function evictOldest<T>(map: Map<string, T>, limit: number): void {
  if (map.size <= limit) return;
  const [oldest] = map.keys();
  if (oldest !== undefined) map.delete(oldest);
}
