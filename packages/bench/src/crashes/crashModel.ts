/**
 * @fileoverview Simulates the crashes of backend servers on one day, in virtual
 * time and with the fleet package's search for parts of prompts that crash them.
 *
 * Each router sees its own prompts and reports a crash with its next call to the
 * leader, at most a second later. Answers, and what the leader says, travel the
 * same way. Routers retry once, unless a part is suspected, and callers once
 * more.
 */
import {CrashingParts} from '@dogwoodtrestle/fleet';

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
  /** Time after the fifth crash from which arrivals count as late. */
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
  /** Blocked parts that crash no server. */
  falselyBlocked: string[];
}

interface Prompt {
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
const downMilliseconds = 3_000;
const rollingGapMilliseconds = 700;

/** Popular first parts, as those of a system prompt, and parts of sessions. */
const popularParts = 3;
const sessionParts = 1_500;

/** Simulates one day. */
export function simulateCrashDay(day: CrashDay): CrashDayOutcome {
  return new CrashDaySimulation(day).run();
}

class CrashDaySimulation {
  private readonly random: () => number;
  private readonly search = new CrashingParts();
  private readonly downUntil: number[];
  private readonly starts: number[];
  private open: OpenAttempt[] = [];
  private waiting: Array<{prompt: Prompt; at: number}> = [];
  private readonly reports: Array<{at: number; send: () => void}> = [];
  private readonly answered: Array<Map<string, number>>;
  private readonly nextCalls: number[];
  private readonly crashTimes: number[][];
  private readonly lateArrivals: number[];
  private readonly blocked = new Map<string, number>();
  private readonly plannedCrashes: Array<{at: number; servers: number[]}> = [];
  private prompts = 0;
  private now = 0;

  constructor(private readonly day: CrashDay) {
    const {seed, servers, routers, crashingParts} = day;
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
      const due = this.waiting.filter(({at}) => at <= this.now);
      this.waiting = this.waiting.filter(({at}) => at > this.now);
      for (const {prompt} of due) this.send(prompt);
      this.progress();
      this.exchange();
    }
    const crashing = this.crashTimes.map((_, index) => crashingPart(index));
    return {
      crashes: this.crashTimes.map(({length}) => length),
      lateArrivals: this.lateArrivals,
      falselyBlocked: [...this.blocked.keys()].filter(
        part => !crashing.includes(part),
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
    return {parts: [popular, own], workspace, router, attempts: 0, hash};
  }

  private pick(count: number): number {
    return Math.floor(this.random() * count);
  }

  private send(prompt: Prompt): void {
    if (prompt.parts.some(part => this.blocked.has(part))) return;
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

  private countLate({parts}: Prompt): void {
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
      if (index < 0) continue;
      this.crashTimes[index]?.push(this.now);
      this.crash(server);
    }
    const ended = this.open.filter(({endsAt}) => endsAt <= this.now);
    this.open = this.open.filter(({endsAt}) => endsAt > this.now);
    for (const {prompt} of ended) {
      const answered = this.answered[prompt.router];
      for (const part of prompt.parts) answered?.set(part, this.now);
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
    for (const {prompt, firstEventAt} of broken) {
      const isSuspect = prompt.parts.some(part => suspects.includes(part));
      const isRetriedByCaller = isSuspect || prompt.attempts % 2 === 0;
      const delay = isRetriedByCaller ? 600 + 800 * this.random() : 20;
      this.waiting.push({prompt, at: this.now + delay});
      if (firstEventAt + 100 <= this.now) continue;
      const {router, parts, workspace, hash} = prompt;
      const send = () => {
        const open = parts.map(id => ({
          id,
          workspaces: [workspace],
          prompts: [hash],
        }));
        const age = this.now - crashedAt;
        const name = `s-${server}`;
        this.search.record(
          {server: name, startedAt, ageMilliseconds: age, parts: open},
          this.now,
        );
      };
      this.reports.push({at: this.nextCalls[router] ?? 0, send});
    }
  }

  /** Calls of routers to the leader: what they report, and answer. */
  private exchange(): void {
    this.nextCalls.forEach((at, router) => {
      if (at > this.now) return;
      this.nextCalls[router] = this.now + callMilliseconds;
      const answered = this.answered[router];
      for (const part of this.search.suspects()) {
        const answeredAt = answered?.get(part) ?? -Infinity;
        if (this.now - answeredAt > 30_000) continue;
        this.search.recordAnswer(part, this.now);
      }
    });
    for (const {at, send} of this.reports) if (at <= this.now) send();
    const rest = this.reports.filter(({at}) => at > this.now);
    this.reports.splice(0, this.reports.length, ...rest);
    for (const {part} of this.search.decided(this.now)) {
      this.search.forget(part);
      if (!this.blocked.has(part)) this.blocked.set(part, this.now);
    }
  }
}

function crashingPart(index: number): string {
  return `crashing-${index}`;
}
