/**
 * @fileoverview Which software version began the streams of callers, as far as
 * this router or the leader knows.
 *
 * A caller that takes a stream up names the attempt that brought its first event,
 * and may reach another router than before. So while servers of several versions
 * are in service, routers report to the leader what they begin. A caller doesn't
 * wait for that: a stream that has just begun may be unknown if its router ends.
 */
import {
  softwareVersionOf,
  streamLifetimeMilliseconds,
  StreamVersions,
} from '@dogwoodtrestle/fleet';
import {
  type Clock,
  type Logger,
  type PeerCallClient,
} from '@dogwoodtrestle/runtime';
import {
  type BackendServerRecord,
  checkedMessage,
  type KnownStream,
  type StreamRecord,
} from '@dogwoodtrestle/schema';

import {type RoutedRequest} from './routedRequest.js';
import {type ServerPool} from './serverPool.js';

/** Characters of an attempt's name, as many as a report may have. */
const maxAttemptCharacters = 128;

/** Streams in one report. */
const maxReportedStreams = 500;

/** Time for which streams are collected for one report. */
const reportDelayMilliseconds = 60;

/** The same for each router, so that the leader gets a bounded number of calls. */
const reportDelayPerRouterMilliseconds = 2;

/** Timeout of a call to the leader; a caller waits for the reply to a query. */
const callTimeoutMilliseconds = 400;

/** How the version that began a stream is known. */
export type StreamSource = 'router' | KnownStream['source'] | 'noReply';

/** The software version that began a stream; missing if that is not known. */
export interface StreamOrigin extends Pick<
  KnownStream,
  'softwareVersion' | 'term' | 'confirmationAgeMilliseconds'
> {
  source: StreamSource;
  /** Address of the leader that told it, if one did. */
  leader?: string;
  /** Time since this router has recorded it. */
  ageMilliseconds?: number;
}

/** Options of the component. */
export interface StreamOriginsOptions {
  clock: Clock;
  logger: Logger;
  calls: Pick<PeerCallClient, 'call'>;
  pool: Pick<ServerPool, 'softwareVersions'>;
  leader: () => string | undefined;
  routerCount: () => number;
}

/** Remembers, reports and finds the origins of streams. */
export class StreamOrigins {
  private readonly streams = new StreamVersions();
  /** Streams that are open or broken off, and not yet reported, by attempt. */
  private readonly unreported = new Map<string, StreamRecord>();
  private isReporting = false;

  constructor(private readonly options: StreamOriginsOptions) {}

  /** Records that a caller gets the first event of a stream. */
  begin({request, route, service}: RoutedRequest, server: BackendServerRecord) {
    const {attemptId: attempt, lastEventId} = request;
    if (!route.isResumable || lastEventId !== undefined) return;
    if (attempt.length > maxAttemptCharacters) return;
    const softwareVersion = softwareVersionOf(server);
    const stream = {attempt, service, softwareVersion};
    this.streams.record([stream], this.options.clock.now());
    this.unreported.set(attempt, stream);
    this.reportSoon();
  }

  /** Records the end of a request; a whole stream is not taken up. */
  end({request}: RoutedRequest, isWhole: boolean): void {
    if (isWhole) this.unreported.delete(request.attemptId);
  }

  /** Records that the servers have changed, and with them their versions. */
  observeServers(): void {
    this.reportSoon();
  }

  /**
   * Returns the version that began a stream.
   *
   * @param attempt Attempt that brought its first event; undefined if the caller
   *     doesn't name it.
   */
  async find(
    attempt: string | undefined,
    service: string,
  ): Promise<StreamOrigin> {
    const {clock, logger, pool} = this.options;
    const known = this.streams.find(attempt ?? '');
    if (known?.service === service && known.softwareVersion !== undefined) {
      const {softwareVersion, recordedAt} = known;
      const ageMilliseconds = Math.round(clock.now() - recordedAt);
      return {softwareVersion, source: 'router', ageMilliseconds};
    }
    try {
      const origin = await this.ask(attempt, service);
      const {softwareVersion, source, ...basis} = origin;
      // This router may know of servers that the leader has not heard of.
      const isDisproved =
        source === 'history' &&
        [...pool.softwareVersions(service, clock.now())].some(
          version => version !== softwareVersion,
        );
      return isDisproved ? {source: 'unknown', ...basis} : origin;
    } catch (error) {
      logger.info({err: error, attempt}, 'origin of a stream was not found');
      return {source: 'noReply'};
    }
  }

  private async ask(
    attempt: string | undefined,
    service: string,
  ): Promise<StreamOrigin> {
    const leader = this.options.leader();
    if (leader === undefined) return {source: 'noReply'};
    const isNamed = (attempt?.length ?? Infinity) <= maxAttemptCharacters;
    const query = {...(isNamed && {attempt}), service};
    const reply = await this.options.calls.call<unknown>(
      leader,
      'findStream',
      query,
      {timeoutMilliseconds: callTimeoutMilliseconds},
    );
    const checked = checkedMessage('StreamQueryReply', reply);
    if (checked.kind !== 'stream') return {source: 'noReply', leader};
    const {source, softwareVersion, term, confirmationAgeMilliseconds} =
      checked;
    return {
      source,
      softwareVersion,
      leader,
      term,
      confirmationAgeMilliseconds,
    };
  }

  private reportSoon(): void {
    const {clock, routerCount} = this.options;
    if (this.isReporting || this.mixedStreams().length === 0) return;
    this.isReporting = true;
    const delay = reportDelayPerRouterMilliseconds * routerCount();
    clock.setTimer(Math.max(reportDelayMilliseconds, delay), () => {
      void this.report().finally(() => {
        this.isReporting = false;
        this.reportSoon();
      });
    });
  }

  /** Unreported streams of services with several versions of servers. */
  private mixedStreams(): StreamRecord[] {
    const {clock, pool} = this.options;
    const now = clock.now();
    const isMixed = new Map<string, boolean>();
    const mixed: StreamRecord[] = [];
    for (const stream of this.unreported.values()) {
      const {attempt, service} = stream;
      const {recordedAt = -Infinity} = this.streams.find(attempt) ?? {};
      if (now - recordedAt > streamLifetimeMilliseconds) {
        this.unreported.delete(attempt);
        continue;
      }
      if (!isMixed.has(service)) {
        isMixed.set(service, pool.softwareVersions(service, now).size > 1);
      }
      if (isMixed.get(service) === true) mixed.push(stream);
      if (mixed.length === maxReportedStreams) break;
    }
    return mixed;
  }

  private async report(): Promise<void> {
    const {calls, leader, logger} = this.options;
    const address = leader();
    const streams = this.mixedStreams();
    if (address === undefined || streams.length === 0) return;
    try {
      const call = calls.call<unknown>(
        address,
        'recordStreams',
        {streams},
        {timeoutMilliseconds: callTimeoutMilliseconds},
      );
      const reply = checkedMessage('StreamReportReply', await call);
      if (reply.kind !== 'recorded') return;
      for (const {attempt} of streams) this.unreported.delete(attempt);
      logger.info({count: streams.length}, 'streams reported');
    } catch (error) {
      const count = streams.length;
      logger.info({err: error, count}, 'could not report streams');
    }
  }
}
