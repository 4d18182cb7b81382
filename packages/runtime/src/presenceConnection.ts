/**
 * @fileoverview A connection that a process keeps open to another one for as long
 * as it runs, so that the other one learns that it has ended.
 *
 * The system closes the connections of a process that ends. A running process
 * resets a connection that it no longer needs, and a network that fails resets or
 * silences it. So only the end of the process closes it in an orderly way.
 */
import {type ClientRequest, request} from 'node:http';

import {type Clock} from './clock.js';
import {type Logger} from './logger.js';
import {openSocket} from './openSocket.js';

/** Time for one attempt to connect. */
const connectTimeoutMilliseconds = 1_000;

/** Time from the loss of the connection until it is opened again. */
const reopenAfterMilliseconds = 1_000;

/** The same where the other process doesn't know the method. */
const reopenAfterReplyMilliseconds = 30_000;

/** Options of the connection. */
export interface PresenceConnectionOptions {
  clock: Clock;
  logger: Logger;
  /** Method of the call, which is never replied to. */
  method: string;
  /** Returns the message of the call. */
  message: () => unknown;
  /** Source address; chosen by the system if missing. */
  localAddress?: string;
}

/** Keeps a connection to one address at a time. */
export class PresenceConnection {
  private address?: string;
  /** Message of the connection, as JSON. */
  private body?: string;
  private call?: ClientRequest;
  private cancelReopening?: () => void;

  constructor(private readonly options: PresenceConnectionOptions) {}

  /**
   * Keeps a connection to `host:port`, in place of the one to another address, or
   * with another message.
   */
  follow(address: string): void {
    const body = JSON.stringify(this.options.message());
    if (address === this.address && body === this.body) return;
    this.takeCall()?.socket?.resetAndDestroy();
    this.address = address;
    this.body = body;
    this.open(address, body);
  }

  /** Closes the connection in an orderly way, as the end of the process does. */
  close(): void {
    this.address = undefined;
    this.takeCall()?.destroy();
  }

  private open(address: string, body: string): void {
    const {logger, method, localAddress} = this.options;
    const call = request({
      method: 'POST',
      path: `/${method}`,
      headers: {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(body),
      },
      createConnection: () =>
        openSocket(
          address,
          {timeoutMilliseconds: connectTimeoutMilliseconds, localAddress},
          () => undefined, // The request reports the error as well.
        ),
    });
    this.call = call;
    let hasReply = false;
    call.on('error', error => {
      logger.debug({err: error, address, call: method}, 'connection was lost');
    });
    call.on('response', response => {
      hasReply = true;
      response.resume();
      call.destroy();
    });
    call.on('close', () => {
      if (this.call !== call) return;
      this.call = undefined;
      this.cancelReopening = this.options.clock.setTimer(
        hasReply ? reopenAfterReplyMilliseconds : reopenAfterMilliseconds,
        () => this.open(address, body),
      );
    });
    call.end(body);
  }

  /** Returns the call in progress, which is not replaced by another one. */
  private takeCall(): ClientRequest | undefined {
    this.cancelReopening?.();
    this.cancelReopening = undefined;
    const {call} = this;
    this.call = undefined;
    return call;
  }
}
