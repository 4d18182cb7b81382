/**
 * @fileoverview Simulates the crashes of backend servers on one day, in virtual
 * time and with the fleet package's search for what crashes them.
 *
 * Each router sees its own prompts and reports a crash at once. Answers travel
 * with its next call to the leader, a second later or once it notifies all
 * routers. Routers retry once,
 * unless a subject is suspected, and callers once more.
 */
import {
  CrashingSubjects,
  isRefusedBy,
  requestSubject,
} from '@dogwoodtrestle/fleet';

import {exponential, seededRandom} from '../util/random.js';

/** Crashes that have nothing to do with prompts. */
export type OrdinaryCrash =
  'single' | 'domain' | 'half' | 'flapping' | 'rolling' | 'all';

/** Load and faults of one simulated day. Times are in milliseconds. */
export interface CrashDay {
  seed: number;
  routers: number;
  servers: number;
  requestsPerSecond: number;
  durationMilliseconds: number;
  ordinary: readonly OrdinaryCrash[];
  /** Parts that crash servers, from a time on; none by default. */
  crashingParts: number;
  crashingFrom: number;
  /** Share of the requests that has one of these parts. */
  crashingShare: number;
  /** Requests that crash servers and come again, from the same time on. */
  crashingRequests: number;
  /** How often each of them comes. */
  crashingRequestsPerSecond: number;
  /** Time after a crash by the users' rules from which arrivals are late. */
  contactMilliseconds: number;
}

/** Result of a simulated day. */
export interface CrashDayOutcome {
  /** Crashes by each crashing part. */
  crashes: number[];
  /**
   * Prompts with each crashing part that reach servers later than the contact
   * time after its fifth crash.
   */
  lateArrivals: number[];
  /** Crashes by each crashing request. */
  requestCrashes: number[];
  /**
   * Arrivals of each crashing request at servers later than the contact time
   * after its third crash.
   */
  lateRequests: number[];
  /** Blocked requests whose prompt has a crashing part. */
  blockedCarriers: number;
  /** Blocked subjects that crash no server. */
  falselyBlocked: string[];
}

interface Prompt {
  /** Identity of the request, which repeats of it share. */
  subject: string;
  parts: string[];
  workspace: string;
  router: number;
  attempts: number;
  hash: number;
}

interface OpenAttempt {
  prompt: Prompt;
  server: number;
  startedAt: number;
  firstEventAt: number;
  endsAt: number;
}

const tickMilliseconds = 10;
const domains = 4;
const workspaces = 24;
const maxAttempts = 4;
const callMilliseconds = 1_000;

/** Time in which the leader's reply reaches a router, and its next call returns. */
const notifyMilliseconds = 50;

/** Time in which a router checks a server that broke off, and reports it. */
const reportMilliseconds = 100;
const downMilliseconds = 3_000;
const rollingGapMilliseconds = 700;

/** Share of the requests that are repeated reads, and how many of these differ. */
const repeatedShare = 0.1;
const repeatedReads = 40;

/** Popular first parts, as those of a system prompt, and parts of sessions. */
const popularParts = 3;
const sessionParts = 1_500;

/** Simulates one day. */
export function simulateCrashDay(day: CrashDay): CrashDayOutcome {
  return new CrashDaySimulation(day).run();
}

class CrashDaySimulation {
  private readonly random: () => number;
  private readonly search = new CrashingSubjects();
  private readonly downUntil: number[];
  private readonly starts: number[];
  private open: OpenAttempt[] = [];
  private waiting: Array<{prompt: Prompt; at: number}> = [];
  private readonly reports: Array<{at: number; send: () => void}> = [];
  private readonly answered: Array<Map<string, number>>;
  private readonly nextCalls: number[];
  private readonly crashTimes: number[][];
  private readonly lateArrivals: number[];
  private readonly requestCrashTimes: number[][];
  private readonly lateRequests: number[];
  private readonly nextRepeats: number[];
  /** Companions of blocked subjects. */
  private readonly blocked = new Map<string, string[]>();
  private readonly plannedCrashes: Array<{at: number; servers: number[]}> = [];
  /** Requests whose prompt has a crashing part. */
  private readonly carriers = new Set<string>();
  private prompts = 0;
  private now = 0;

  constructor(private readonly day: CrashDay) {
    const {seed, servers, routers, crashingParts, crashingRequests} = day;
    this.random = seededRandom(seed);
    this.downUntil = Array.from({length: servers}, () => 0);
    this.starts = Array.from({length: servers}, () => 1);
    this.answered = Array.from(
      {length: routers},
      () => new Map<string, number>(),
    );
    this.nextCalls = Array.from({length: routers}, () =>
      Math.floor(this.random() * callMilliseconds),
    );
    this.lateArrivals = Array.from({length: crashingParts}, () => 0);
    this.crashTimes = Array.from({length: crashingParts}, () => []);
    this.requestCrashTimes = Array.from({length: crashingRequests}, () => []);
    this.lateRequests = Array.from({length: crashingRequests}, () => 0);
    this.nextRepeats = Array.from(
      {length: crashingRequests},
      () => day.crashingFrom + this.random() * 1_000,
    );
    for (const kind of day.ordinary) this.plan(kind);
  }

  run(): CrashDayOutcome {
    let nextArrival = 0;
    const {durationMilliseconds, requestsPerSecond} = this.day;
    for (; this.now < durationMilliseconds; this.now += tickMilliseconds) {
      for (const {at, servers} of this.plannedCrashes) {
        if (at <= this.now && this.now < at + tickMilliseconds) {
          for (const server of servers) this.crash(server);
        }
      }
      while (nextArrival <= this.now) {
        this.send(this.createPrompt());
        nextArrival += exponential(requestsPerSecond, this.random) * 1_000;
      }
      this.repeatCrashingRequests();
      const due = this.waiting.filter(({at}) => at <= this.now);
      this.waiting = this.waiting.filter(({at}) => at > this.now);
      for (const {prompt} of due) this.send(prompt);
      this.progress();
      this.exchange();
    }
    const crashing = [
      ...this.crashTimes.map((_, index) => crashingPart(index)),
      ...this.requestCrashTimes.map((_, index) => crashingRequest(index)),
    ];
    const blocked = [...this.blocked.keys()];
    return {
      crashes: this.crashTimes.map(({length}) => length),
      lateArrivals: this.lateArrivals,
      requestCrashes: this.requestCrashTimes.map(({length}) => length),
      lateRequests: this.lateRequests,
      blockedCarriers: blocked.filter(one => this.carriers.has(one)).length,
      falselyBlocked: blocked.filter(
        one => !crashing.includes(one) && !this.carriers.has(one),
      ),
    };
  }

  private plan(kind: OrdinaryCrash): void {
    const {servers, durationMilliseconds} = this.day;
    const at = this.random() * durationMilliseconds * 0.8;
    const first = Math.floor(this.random() * servers);
    const all = Array.from({length: servers}, (_, index) => index);
    const some = (share: number) => all.filter(() => this.random() < share);
    const flapping = some(0.15);
    const plans: Record<OrdinaryCrash, () => void> = {
      single: () => this.plannedCrashes.push({at, servers: [first]}),
      domain: () => {
        const domain = all.filter(index => index % domains === first % domains);
        this.plannedCrashes.push({at, servers: domain});
      },
      half: () => this.plannedCrashes.push({at, servers: some(0.5)}),
      flapping: () => {
        for (let count = 0; count < 5; count++) {
          const next = at + count * (downMilliseconds + 500);
          this.plannedCrashes.push({at: next, servers: flapping});
        }
      },
      rolling: () => {
        all.slice(0, Math.ceil(servers / 2)).forEach((server, index) => {
          const next = at + index * rollingGapMilliseconds;
          this.plannedCrashes.push({at: next, servers: [server]});
        });
      },
      all: () => this.plannedCrashes.push({at, servers: all}),
    };
    plans[kind]();
  }

  private createPrompt(): Prompt {
    const {routers, crashingParts, crashingFrom, crashingShare} = this.day;
    const popular = `popular-${this.pick(popularParts)}`;
    const isCrashing =
      this.now >= crashingFrom && this.random() < crashingShare;
    const own =
      isCrashing && crashingParts > 0
        ? crashingPart(this.pick(crashingParts))
        : `session-${this.pick(sessionParts)}`;
    const workspace = `w-${Math.floor(this.random() ** 3 * workspaces)}`;
    const router = this.pick(routers);
    const hash = ++this.prompts;
    if (this.random() < repeatedShare) {
      const read = requestSubject(`read-${this.pick(repeatedReads)}`);
      return {subject: read, parts: [], workspace, router, attempts: 0, hash};
    }
    const parts = [popular, own];
    const subject = requestSubject(String(hash));
    if (isCrashing && crashingParts > 0) this.carriers.add(subject);
    return {subject, parts, workspace, router, attempts: 0, hash};
  }

  /** Sends each crashing request again when it is due, at any router. */
  private repeatCrashingRequests(): void {
    this.nextRepeats.forEach((at, index) => {
      if (at > this.now) return;
      const rate = this.day.crashingRequestsPerSecond;
      this.nextRepeats[index] =
        this.now + exponential(rate, this.random) * 1_000;
      this.send({
        subject: crashingRequest(index),
        parts: [`popular-${index % popularParts}`, `session-${index}`],
        workspace: `w-${index}`,
        router: this.pick(this.day.routers),
        attempts: 0,
        hash: -1 - index,
      });
    });
  }

  private pick(count: number): number {
    return Math.floor(this.random() * count);
  }

  private send(prompt: Prompt): void {
    if (this.isRefused(subjectsOf(prompt))) return;
    const up = this.downUntil
      .map((until, server) => ({until, server}))
      .filter(({until}) => until <= this.now);
    const chosen = up[this.pick(up.length)];
    if (chosen === undefined || prompt.attempts >= maxAttempts) return;
    prompt.attempts++;
    this.countLate(prompt);
    const isOverloaded = up.length < this.day.servers * 0.6;
    const wait = (isOverloaded ? 1_500 : 150) * -Math.log(1 - this.random());
    const firstEventAt = this.now + 40 + wait;
    const endsAt = firstEventAt + 800 * this.random();
    const {server} = chosen;
    this.open.push({
      prompt,
      server,
      startedAt: this.now,
      firstEventAt,
      endsAt,
    });
  }

  private countLate({parts, subject}: Prompt): void {
    this.requestCrashTimes.forEach((times, index) => {
      const third = times[2] ?? Infinity;
      const isLate = this.now > third + this.day.contactMilliseconds;
      if (!isLate || subject !== crashingRequest(index)) return;
      this.lateRequests[index] = (this.lateRequests[index] ?? 0) + 1;
    });
    this.crashTimes.forEach((times, index) => {
      const fifth = times[4] ?? Infinity;
      const isLate = this.now > fifth + this.day.contactMilliseconds;
      if (!isLate || !parts.includes(crashingPart(index))) return;
      this.lateArrivals[index] = (this.lateArrivals[index] ?? 0) + 1;
    });
  }

  /** Servers begin answers, which crash some of them, and end others. */
  private progress(): void {
    for (const {prompt, server, firstEventAt} of this.open) {
      if (firstEventAt > this.now || this.isDown(server)) continue;
      const index = this.crashTimes.findIndex((_, part) =>
        prompt.parts.includes(crashingPart(part)),
      );
      const request = this.requestCrashTimes.findIndex(
        (_, one) => prompt.subject === crashingRequest(one),
      );
      if (index < 0 && request < 0) continue;
      this.crashTimes[index]?.push(this.now);
      this.requestCrashTimes[request]?.push(this.now);
      this.crash(server);
    }
    const ended = this.open.filter(({endsAt}) => endsAt <= this.now);
    this.open = this.open.filter(({endsAt}) => endsAt > this.now);
    for (const {prompt} of ended) {
      const answered = this.answered[prompt.router];
      for (const one of subjectsOf(prompt)) answered?.set(one, this.now);
    }
  }

  private isDown(server: number): boolean {
    return (this.downUntil[server] ?? 0) > this.now;
  }

  private crash(server: number): void {
    if (this.isDown(server)) return;
    const startedAt = this.starts[server] ?? 0;
    this.starts[server] = this.now + 1;
    this.downUntil[server] = this.now + downMilliseconds;
    const broken = this.open.filter(attempt => attempt.server === server);
    this.open = this.open.filter(attempt => attempt.server !== server);
    const crashedAt = this.now;
    const suspects = this.search.suspects();
    const seen = new Map<number, Prompt[]>();
    for (const {prompt, firstEventAt} of broken) {
      const isSuspect = subjectsOf(prompt).some(one => suspects.includes(one));
      const isRetriedByCaller = isSuspect || prompt.attempts % 2 === 0;
      const delay = isRetriedByCaller ? 600 + 800 * this.random() : 20;
      this.waiting.push({prompt, at: this.now + delay});
      if (firstEventAt + 100 <= this.now) continue;
      const {router} = prompt;
      seen.set(router, [...(seen.get(router) ?? []), prompt]);
    }
    for (const prompts of seen.values()) {
      const send = () =>
        this.reportCrash(server, startedAt, crashedAt, prompts);
      this.reports.push({at: this.now + reportMilliseconds, send});
    }
  }

  /** Reports a crash to the leader, as the router's control client does. */
  private reportCrash(
    server: number,
    startedAt: number,
    crashedAt: number,
    prompts: readonly Prompt[],
  ): void {
    const parts = prompts.flatMap(prompt =>
      subjectsOf(prompt).map(id => ({
        id,
        workspaces: [prompt.workspace],
        prompts: [prompt.hash],
      })),
    );
    const ageMilliseconds = this.now - crashedAt;
    const report = {server: `s-${server}`, startedAt, ageMilliseconds, parts};
    const isExplained = prompts.some(prompt =>
      this.isRefused(subjectsOf(prompt)),
    );
    if (isExplained) this.search.explain(report, this.now);
    else if (this.search.record(report, this.now).length > 0) this.notify();
  }

  /** Replies to all routers, which then call again. */
  private notify(): void {
    this.nextCalls.forEach((at, router) => {
      const next = this.now + notifyMilliseconds * (1 + this.random());
      this.nextCalls[router] = Math.min(at, next);
    });
  }

  /** Calls of routers to the leader: what they report, and answer. */
  private exchange(): void {
    this.nextCalls.forEach((at, router) => {
      if (at > this.now) return;
      this.nextCalls[router] = this.now + callMilliseconds;
      const answered = this.answered[router];
      const blocked = [...this.blocked].flat(2);
      for (const subject of [...this.search.suspects(), ...blocked]) {
        const answeredAt = answered?.get(subject) ?? -Infinity;
        if (this.now - answeredAt > 30_000) continue;
        this.search.recordAnswer(subject, this.now);
        this.clear(subject);
      }
    });
    for (const {at, send} of this.reports) if (at <= this.now) send();
    const rest = this.reports.filter(({at}) => at > this.now);
    this.reports.splice(0, this.reports.length, ...rest);
    for (const {subject, companions} of this.search.decided(this.now)) {
      this.block(subject, companions);
    }
  }

  private block(subject: string, companions: string[]): void {
    const known = this.blocked.get(subject);
    const common = (known ?? companions).filter(one =>
      companions.includes(one),
    );
    if (known !== undefined && common.length === known.length) return;
    this.blocked.set(subject, common);
    if (common.length === 0) this.search.forget(subject, this.now);
    else this.search.recordJointBlock([subject, ...common], this.now);
  }

  /** Clears a subject that was answered whole; its companions stay blocked. */
  private clear(subject: string): void {
    for (const [part, companions] of [...this.blocked]) {
      const rest = companions.filter(one => one !== subject);
      if (part !== subject) {
        this.blocked.set(part, rest);
        continue;
      }
      this.blocked.delete(part);
      const next = rest.pop();
      if (next !== undefined) this.blocked.set(next, rest);
    }
  }

  private isRefused(subjects: readonly string[]): boolean {
    return [...this.blocked].some(([part, companions]) =>
      isRefusedBy({part, companions}, subjects),
    );
  }
}

function crashingPart(index: number): string {
  return `crashing-${index}`;
}

function crashingRequest(index: number): string {
  return requestSubject(`crashing-${index}`);
}

/** What may crash a server that runs the request. */
function subjectsOf({subject, parts}: Prompt): string[] {
  return [subject, ...parts];
}
