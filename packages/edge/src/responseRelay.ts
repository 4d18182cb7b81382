/**
 * @fileoverview Relays a backend server's response to the caller as it arrives: a
 * stream by whole events, another response once it is too long to be held.
 */
import {type AttemptProgress, startEvents} from './attemptProgress.js';
import {type CallerExchange} from './callerExchange.js';
import {type EdgeContext} from './edgeContext.js';
import {type EventScanner} from './eventScanner.js';
import {type RelayedStream} from './relayedStream.js';
import {maxBufferedBytes} from './requestLimits.js';
import {type RequestTerms} from './requestTerms.js';
import {type RequestTokens} from './requestTokens.js';
import {type ResponseTimer} from './responseTimer.js';
import {type RoutedRequest} from './routedRequest.js';
import {emptyResponseHead, type ResponseHead} from './wireCodec.js';

/** The request whose response is relayed, and what is kept of it. */
export interface RelayedRequest {
  context: EdgeContext;
  input: RoutedRequest;
  terms: RequestTerms;
  timer: ResponseTimer;
  stream: RelayedStream;
  tokens: RequestTokens;
  exchange: CallerExchange;
}

/** Part of a response that has more bytes than it may. */
export type EndlessPart = 'event' | 'not resumed';

/** Relays the responses of a request's attempts. */
export class ResponseRelay {
  /**
   * @param onEndless Called to leave a server whose response has no end.
   * @param onUndelimited Called to end a request whose caller could not tell the
   *     end of the response.
   */
  constructor(
    private readonly request: RelayedRequest,
    private readonly onEndless: (
      progress: AttemptProgress,
      part: EndlessPart,
    ) => void,
    private readonly onUndelimited: (progress: AttemptProgress) => void,
  ) {}

  /** Receives the head of a response. */
  receiveHead(
    progress: AttemptProgress,
    status: number,
    head: ResponseHead,
  ): void {
    const {context, terms, timer, stream, exchange} = this.request;
    progress.status = status;
    progress.head = head;
    if (!terms.isStream) {
      progress.progressAt = context.clock.now();
      timer.observeHead(progress);
    }
    if (!terms.isStream || status >= 300) return;
    startEvents(progress, stream.lastEventId, context.responseBudget);
    if (!exchange.isStarted) exchange.startStream(head, status);
  }

  /** Receives bytes. Returns false to pause reading from the server. */
  receiveData(progress: AttemptProgress, chunk: Buffer): boolean {
    const {context, exchange} = this.request;
    if (progress.scanner !== undefined) {
      return this.relayEvents(progress, progress.scanner, chunk);
    }
    progress.progressAt = context.clock.now();
    if (progress.isPassedOn) return this.write(progress, chunk);
    progress.held.append(chunk);
    const isTooLong = progress.held.length > maxBufferedBytes;
    // The server sent another response instead of resuming the stream.
    if (exchange.isStarted) {
      if (isTooLong) this.onEndless(progress, 'not resumed');
      return true;
    }
    if (!isTooLong && !context.responseBudget.isExceeded) return true;
    const head = progress.head ?? emptyResponseHead;
    if (!exchange.canDelimit(head)) {
      this.onUndelimited(progress);
      return true;
    }
    progress.isPassedOn = true;
    exchange.start(head, progress.status);
    return this.write(progress, progress.held.take());
  }

  private relayEvents(
    progress: AttemptProgress,
    scanner: EventScanner,
    chunk: Buffer,
  ): boolean {
    const {data, count} = scanner.push(chunk);
    if (count === 0) {
      if (scanner.isEndless) this.onEndless(progress, 'event');
      else if (data.length > 0) return this.write(progress, data);
      return true;
    }
    this.recordEvents(progress, count, scanner.lastEventId);
    progress.attempt?.coalesce(this.request.context.coalescer);
    return this.write(progress, data);
  }

  private recordEvents(
    progress: AttemptProgress,
    count: number,
    lastEventId: string | undefined,
  ): void {
    const {context, input, terms, timer, stream, tokens} = this.request;
    const now = context.clock.now();
    const {record} = progress.server;
    const isFirst = stream.record(record, {count, lastEventId}, now);
    if (isFirst) context.streams.begin(input, record);
    tokens.recordEvents(stream.events);
    if (progress.open !== undefined) progress.open.events += count;
    progress.progressAt = now;
    progress.events += count;
    if (!progress.hasFirstEvent) {
      progress.hasFirstEvent = true;
      progress.server.unreadTokens -= terms.promptTokens;
      timer.observeFirstEvent(progress);
    } else {
      timer.observeEvents(progress);
    }
  }

  private write(progress: AttemptProgress, data: Buffer): boolean {
    const {exchange, context} = this.request;
    return exchange.write(data, () => {
      progress.readAt = context.clock.now();
      progress.attempt?.resume();
    });
  }
}
