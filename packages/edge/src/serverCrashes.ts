/**
 * @fileoverview Crashes of backend servers as this router sees them: the requests
 * whose connections a server closed before their answers had gone far.
 *
 * Broken connections alone don't tell a crash from a reset. So a connection is
 * opened shortly after: a server that refuses it has crashed, as has one whose
 * successor is announced at its address.
 */
import {
  type Clock,
  connectionErrorCode,
  type Counter,
  type Logger,
  type MetricsRegistry,
} from '@dogwoodtrestle/runtime';
import {
  type BackendServerRecord,
  type CrashReport,
  type OpenPart,
} from '@dogwoodtrestle/schema';

import {type WatchReport, type WatchTopic} from './watchTopic.js';

/** Time from the first broken connection to the check of the server. */
const checkAfterMilliseconds = 40;

/** Timeout of the connection that checks a server. */
const checkTimeoutMilliseconds = 300;

/** Time for which a server's successor shows that broken connections were a crash. */
const successorMilliseconds = 10_000;

/** Events from which an answer has gone so far that its request is no cause. */
const minHarmlessEvents = 2;

/** Time for which crashes are reported to leaders that have not heard of them. */
const reportedMilliseconds = 60_000;

/** Most crashes that are remembered. */
const maxCrashes = 64;

/** Most subjects in the report of one crash, as many as a report may have. */
const maxReportedSubjects = 512;

/** Most requests that are named for one subject. */
const maxReportedPrompts = 16;

/** A request that is open at a server. */
export interface OpenRequest {
  /** What may crash the server: the request, and the parts of its prompt. */
  subjects: readonly string[];
  /** Empty for a request without a workspace. */
  workspace: string;
  /** Hash that retries of the request share. */
  hash: number;
  /** Complete events of the answer. */
  events: number;
}

/** How a request ended at a server: `broken` if it closed the connection. */
export type RequestEnd = 'broken' | 'other';

/** Requests at one incarnation of a server. */
interface ServerRequests {
  record: BackendServerRecord;
  open: Set<OpenRequest>;
  broken: OpenRequest[];
  brokenAt?: number;
}

interface Crash {
  server: string;
  startedAt: number;
  parts: OpenPart[];
  at: number;
  /** Epochs of the leaders that have received the report. */
  receivedBy: Set<string>;
}

/** Options of the observer. */
export interface ServerCrashesOptions {
  clock: Clock;
  logger: Logger;
  metrics: MetricsRegistry;
  /** Called when a crash is to be reported. */
  onCrash?: () => void;
  /** Opens a connection to an address; resolves to whether it was refused. */
  isRefused?: (address: string) => Promise<boolean>;
}

/** Observes crashes and reports them to the leader. */
export class ServerCrashes implements WatchTopic {
  private readonly servers = new Map<string, ServerRequests>();
  private crashes: Crash[] = [];
  private readonly counter: Counter;
  private readonly isRefused: (address: string) => Promise<boolean>;

  constructor(private readonly options: ServerCrashesOptions) {
    this.counter = options.metrics.counter(
      'dogwoodtrestle_server_crashes_total',
      'Crashes of backend servers with open requests of this router, by service.',
    );
    this.isRefused = options.isRefused ?? isConnectionRefused;
  }

  /** Records that a request is sent to a server. */
  begin(record: BackendServerRecord, request: OpenRequest): void {
    const key = keyOf(record);
    let server = this.servers.get(key);
    if (server === undefined) {
      server = {record, open: new Set(), broken: []};
      this.servers.set(key, server);
    }
    server.open.add(request);
  }

  /** Records the end of a request at a server. */
  end(
    record: BackendServerRecord,
    request: OpenRequest,
    end: RequestEnd,
  ): void {
    const key = keyOf(record);
    const server = this.servers.get(key);
    if (server === undefined) return;
    server.open.delete(request);
    if (end === 'broken') this.recordBroken(server, request);
    if (server.open.size === 0 && server.brokenAt === undefined) {
      this.servers.delete(key);
    }
  }

  /** Finds crashes by the successors that new records announce. */
  observeRecords(records: readonly BackendServerRecord[]): void {
    for (const {address, startedAt} of records) {
      for (const server of this.servers.values()) {
        const {record, brokenAt} = server;
        const isSuccessor =
          record.address === address && record.startedAt < startedAt;
        if (brokenAt !== undefined && isSuccessor) this.recordCrash(server);
      }
    }
  }

  report(epoch: string): WatchReport {
    const now = this.options.clock.now();
    this.crashes = this.crashes
      .filter(({at}) => now - at < reportedMilliseconds)
      .slice(-maxCrashes);
    const sent = this.crashes.filter(({receivedBy}) => !receivedBy.has(epoch));
    if (sent.length === 0) return {fields: {}};
    const crashes = sent.map(({server, startedAt, parts, at}): CrashReport => {
      const ageMilliseconds = Math.max(0, Math.round(now - at));
      return {server, startedAt, ageMilliseconds, parts};
    });
    return {
      fields: {crashes},
      onReceived: receiver => {
        for (const {receivedBy} of sent) receivedBy.add(receiver);
      },
    };
  }

  apply(): void {
    // The leader's conclusions concern subjects; see `crashSubjects`.
  }

  private recordBroken(server: ServerRequests, request: OpenRequest): void {
    const {clock} = this.options;
    // A server that leaves closes its connections without a crash.
    if (server.record.state === 'left') return;
    server.broken.push(request);
    if (server.brokenAt !== undefined) return;
    server.brokenAt = clock.now();
    clock.setTimer(checkAfterMilliseconds, () => {
      void this.check(server);
    });
    clock.setTimer(successorMilliseconds, () => this.forgetBroken(server));
  }

  private async check(server: ServerRequests): Promise<void> {
    const {address} = server.record;
    if (await this.isRefused(address)) this.recordCrash(server);
  }

  private recordCrash(server: ServerRequests): void {
    const {record, broken, open, brokenAt} = server;
    if (brokenAt === undefined || broken.length === 0) return;
    const requests = [...broken, ...open];
    const parts = collectSubjects(
      requests.filter(({events}) => events < minHarmlessEvents),
    );
    const {id, startedAt, service} = record;
    this.counter.add({service});
    this.options.logger.info(
      {server: id, startedAt, service, requests: requests.length, parts},
      'backend server crashed',
    );
    const receivedBy = new Set<string>();
    const crash = {server: id, startedAt, parts, at: brokenAt, receivedBy};
    this.crashes.push(crash);
    this.forgetBroken(server);
    this.options.onCrash?.();
  }

  private forgetBroken(server: ServerRequests): void {
    server.broken = [];
    server.brokenAt = undefined;
    if (server.open.size === 0) this.servers.delete(keyOf(server.record));
  }
}

function keyOf({id, startedAt}: BackendServerRecord): string {
  return `${id}@${startedAt}`;
}

/** Returns the subjects of requests, with what sent each of them. */
function collectSubjects(requests: readonly OpenRequest[]): OpenPart[] {
  const found = new Map<string, {names: Set<string>; hashes: Set<number>}>();
  for (const {subjects, workspace, hash} of requests) {
    for (const subject of subjects) {
      const open = found.get(subject) ?? {names: new Set(), hashes: new Set()};
      found.set(subject, open);
      open.names.add(workspace);
      if (open.hashes.size < maxReportedPrompts) open.hashes.add(hash);
    }
  }
  return [...found]
    .slice(0, maxReportedSubjects)
    .map(([id, {names, hashes}]) => ({
      id,
      workspaces: [...names],
      prompts: [...hashes],
    }));
}

/** Whether an address refuses a connection, as it does if no process listens. */
async function isConnectionRefused(address: string): Promise<boolean> {
  const code = await connectionErrorCode(address, checkTimeoutMilliseconds);
  return code === 'ECONNREFUSED' || code === 'ECONNRESET';
}
