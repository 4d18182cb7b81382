/**
 * @fileoverview A router's watch calls to control processes: long polls, whose
 * replies wait for changes, and calls that ask for an immediate reply.
 *
 * Load pattern: all routers call the same few processes, and all at once after a
 * failure; so a process gets few calls of a router at a time, and calls for an
 * immediate reply only at intervals.
 */
import {type LeaseRequestTime} from '@dogwoodtrestle/fleet';
import {type Clock, type PeerCallClient} from '@dogwoodtrestle/runtime';
import {type WatchReply, type WatchRequest} from '@dogwoodtrestle/schema';

import {type CallTimes} from './callTimes.js';
import {ConnectionRenewal} from './connectionRenewal.js';
import {type AppliedVersions} from './controlView.js';
import {type EdgeOptions} from './edgeOptions.js';
import {callLimitMilliseconds, type PendingCall} from './pendingCalls.js';
import {PendingWatchCalls} from './pendingWatchCalls.js';
import {type ReplyCounter} from './replyCounter.js';
import {type RouterIdentity} from './routerIdentity.js';
import {type SearchTargets} from './searchRound.js';
import {type WatchTopic} from './watchTopic.js';

/** A watch call that has a reply, or that has failed. */
export interface EndedCall {
  /** Counts the calls in the order of their sending. */
  number: number;
  address: string;
  time: LeaseRequestTime;
}

/** What a call reports, and where its result goes. */
export interface WatchCallHost {
  /** Versions of what this router has applied. */
  versions(): AppliedVersions;
  /** Revision of the peers that a control process has sent, or -1. */
  peersRevisionOf(address: string): number;
  /** Further subjects, in the order of their reports. */
  topics(): readonly WatchTopic[];
  /** Called with the reply; an error that it throws counts as a failed call. */
  onReply(reply: WatchReply, call: EndedCall): void;
  /** Called when a call has failed, but not when it was ended. */
  onFailure(call: EndedCall): void;
}

/** What watch calls use. */
export interface WatchCallParts {
  options: EdgeOptions;
  calls: PeerCallClient;
  identity: RouterIdentity;
  times: CallTimes;
  replies: ReplyCounter;
}

/** Sends watch calls. */
export class WatchCalls {
  private readonly pending: PendingWatchCalls;
  private readonly renewal: ConnectionRenewal;
  private readonly askedAt = new Map<string, number>();
  private readonly clock: Clock;
  private sentCalls = 0;

  constructor(
    private readonly parts: WatchCallParts,
    private readonly host: WatchCallHost,
  ) {
    const {options, calls} = parts;
    this.clock = options.clock;
    this.pending = new PendingWatchCalls(options.clock);
    this.renewal = new ConnectionRenewal(options.clock, calls);
  }

  /** Whether no process replies, so that this router may be cut off. */
  get isSilent(): boolean {
    return this.pending.isSilent;
  }

  /** Whether a process may be holding a call until it has changes. */
  hasRecentPoll(address: string): boolean {
    const age = this.clock.now() - this.pending.polls.newestSentAt(address);
    return age < this.parts.times.pollTimeout;
  }

  /** Time in milliseconds until a process may be asked again; or less than 0. */
  pauseBeforeAsk(address: string): number {
    const askedAt = this.askedAt.get(address) ?? -Infinity;
    const wait = askedAt + this.parts.times.askInterval;
    return wait - this.clock.now();
  }

  /**
   * Calls processes in a round of a search.
   *
   * @param mayBeSilent Whether idle connections may have failed unnoticed.
   */
  callInRound({asked, polled}: SearchTargets, mayBeSilent: boolean): void {
    for (const address of mayBeSilent ? [...asked, ...polled] : []) {
      this.renewal.renew(address);
    }
    for (const address of asked) void this.ask(address);
    for (const address of polled) void this.poll(address);
  }

  /** Sends a call to a process that doesn't reply, if another one is due. */
  callInSilence(address: string): void {
    const {askPatience} = this.parts.times;
    const kind = this.pending.dueInSilence(address, askPatience);
    if (kind === undefined) return;
    this.renewal.renew(address);
    void this[kind](address);
  }

  /**
   * Sends a watch call whose reply may be delayed until there are changes. Resolves
   * once it has ended; it never fails.
   */
  async poll(address: string): Promise<void> {
    const {longPollMilliseconds: waitMilliseconds} = this.parts.options;
    const time = this.requestTime();
    const {sentAt} = time;
    const call = this.pending.polls.add({address, sentAt, waitMilliseconds});
    if (call === undefined) return;
    await this.watchOnce(call, time);
    this.pending.polls.remove(call);
  }

  /**
   * Sends a watch call that asks for an immediate reply, if none was sent lately.
   * Resolves once it has ended; it never fails.
   */
  async ask(address: string): Promise<void> {
    const {askInterval, askPatience} = this.parts.times;
    const time = this.requestTime();
    const {sentAt} = time;
    const askedAt = this.askedAt.get(address) ?? -Infinity;
    if (sentAt - askedAt < askInterval) return;
    this.askedAt.set(address, sentAt);
    this.pending.asks.endSentBefore(address, sentAt - askPatience);
    const call = this.pending.asks.add({address, sentAt, waitMilliseconds: 0});
    if (call === undefined) return;
    await this.watchOnce(call, time, {waitMilliseconds: 0});
    this.pending.asks.remove(call);
  }

  private async watchOnce(
    pending: PendingCall,
    time: LeaseRequestTime,
    fields: Partial<WatchRequest> = {},
  ): Promise<void> {
    const {address, controller} = pending;
    const call = {number: ++this.sentCalls, address, time};
    try {
      const {signal} = controller;
      const reply = await this.requestUpdate(address, fields, signal);
      this.pending.recordReply(pending);
      this.host.onReply(reply, call);
    } catch (error) {
      const {logger} = this.parts.options;
      logger.debug({err: error, address}, 'watch failed');
      if (!controller.signal.aborted) this.host.onFailure(call);
    }
  }

  private requestTime(): LeaseRequestTime {
    return {sentAt: this.clock.now(), wallSentAt: this.clock.wallNow()};
  }

  private async requestUpdate(
    address: string,
    fields: Partial<WatchRequest>,
    signal: AbortSignal,
  ): Promise<WatchReply> {
    const {options, calls, identity, replies} = this.parts;
    const versions = this.host.versions();
    const {epoch} = versions;
    const reports = this.host.topics().map(topic => topic.report(epoch));
    const request: WatchRequest = {
      router: identity.routerId,
      address: options.peerAddress,
      ...versions,
      peersRevision: this.host.peersRevisionOf(address),
      ...fields,
    };
    for (const {fields} of reports) Object.assign(request, fields);
    const call = calls.call<WatchReply>(address, 'watch', request, {
      timeoutMilliseconds: callLimitMilliseconds,
      signal,
    });
    const reply = await replies.count(
      'watch',
      call,
      options.watchTimeoutMilliseconds,
    );
    if (reply.kind === 'update') {
      const replier = reply.directory?.epoch ?? epoch;
      for (const {onReceived} of reports) onReceived?.(replier);
    }
    return reply;
  }
}
