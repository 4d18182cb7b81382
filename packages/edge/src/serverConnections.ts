/**
 * @fileoverview Connections to one backend server. A connection carries one
 * request at a time and is closed unless its state is certain.
 *
 * A connection that isn't made within its time limit is late: its request goes
 * elsewhere, and the connection is for another request if it is made after all.
 * Only one that is never made shows that the server is unreachable, as the link of
 * this router may be busy.
 */
import {type ProcessProof} from '@dogwoodtrestle/fleet';
import {
  type AdaptiveTimeout,
  type Clock,
  type ConnectCallback,
  openSocket,
  type PausableSocket,
  ResponseOverhead,
} from '@dogwoodtrestle/runtime';
import {Client, errors} from 'undici';

import {type ConnectOutcome} from './connectionCounter.js';
import {ConnectionReuse} from './connectionReuse.js';
import {type UnsolicitedPlace} from './unsolicitedBytes.js';

/** Options of the connections to one server. */
export interface ServerConnectionsOptions {
  clock: Clock;
  /** Timeout of a connection; shared by all servers, as they share a link. */
  connectTimeout: AdaptiveTimeout;
  /** Time for which a late connection is awaited, to measure its time. */
  maxConnectTimeoutMilliseconds: number;
  /** Called when a new connection is made. */
  onConnect: () => void;
  /** Called with the outcome of an attempt to connect, and the time it took. */
  onConnectEnd?: (
    address: string,
    outcome: ConnectOutcome,
    milliseconds: number,
  ) => void;
  /** Called when a request no longer uses a connection. */
  onFree?: () => void;
  /** Called when the server sent bytes that no request waited for. */
  onUnsolicited?: (place: UnsolicitedPlace) => void;
  /** Called when a late connection has failed. */
  onUnreachable?: (error: Error) => void;
  /** Which connections lead to the known process; without it all do. */
  proof?: ProcessProof;
}

/** Idle timeout of a connection, unless the server states one. */
const idleMilliseconds = 10_000;

/** Time by which a connection is closed before a server's idle timeout. */
const idleMarginMilliseconds = 1_000;

/** Interval at which a connection follows a timeout that has grown. */
const timeoutPollMilliseconds = 100;

/** Time for which a late connection is kept for a request. */
const maxUnusedMilliseconds = 1_000;

/**
 * Time within which a server closes a connection that this router has ended. Until
 * then it counts in what the server accepts.
 */
const closeMilliseconds = 250;

const maxAnswerHeaderBytes = 32 * 1024;

/** Error codes of connections that the peer, and not this router, has closed. */
const peerCodes: ReadonlySet<string | undefined> = new Set([
  'UND_ERR_SOCKET',
  'ECONNRESET',
  'EPIPE',
]);

/** Whether an error says that no process listens at the address. */
export function isRefusedConnection(error: NodeJS.ErrnoException): boolean {
  return error.code === 'ECONNREFUSED';
}

/** A connection was not made within its time limit, and may be made yet. */
export class LateConnection extends Error {
  constructor() {
    super('connection attempt timed out');
  }
}

/** One connection to a server. */
export interface ServerConnection {
  client: Client;
  /** Missing until the connection is being made. */
  socket?: PausableSocket;
  /**
   * The peer reset its current socket: a response that it ended is incomplete.
   * The client opens another socket for a request after that.
   */
  wasReset: boolean;
  isClosed: boolean;
  /** Whether this side has ended it, which the peer then does as well. */
  isHalfClosed: boolean;
  /** Whether the peer has accepted it. */
  isEstablished: boolean;
  /** When the peer accepted its current socket, in monotonic milliseconds. */
  openedAt: number;
  /** Whether a request was sent on it whose response isn't complete. */
  isAwaiting: boolean;
  /** Requests that it was acquired for. */
  requests: number;
  /** Whether its request no longer waits for it to be made. */
  isLate: boolean;
  /** A socket that was made late, until a request uses it. */
  unused?: PausableSocket;
}

/** Pool of the connections to one server. */
export class ServerConnections {
  /** Connections that are open or being made. */
  open = 0;
  /** Connections that are open. */
  established = 0;
  /** Late connections that are being made. */
  private late = 0;
  private readonly idle: ServerConnection[] = [];
  /** Connections that are open, and when the peer accepted them. */
  private readonly openedTimes = new Map<ServerConnection, number>();
  /** Open connections above which none is kept for another request. */
  private limit = Infinity;
  private readonly reuse = new ConnectionReuse();

  constructor(
    private readonly address: string,
    private readonly options: ServerConnectionsOptions,
  ) {}

  /** Connections that a request uses or that are being made. */
  get busy(): number {
    return this.open - this.idle.length;
  }

  /** Whether connections are late, and none is there for a request. */
  get hasOnlyLate(): boolean {
    return this.late > 0 && this.idle.length === 0;
  }

  /** Limits the open connections; closes idle ones above it, the oldest first. */
  setLimit(limit: number): void {
    this.limit = limit;
    const excess = Math.min(this.open - limit, this.idle.length);
    if (excess <= 0) return;
    for (const connection of this.idle.splice(0, excess)) this.drop(connection);
  }

  /**
   * Returns the idle connection used last, or a new one. Where a proof is needed,
   * it is the last one that has it, if there is one.
   */
  acquire(): ServerConnection {
    const position = this.findIdle();
    const [idle] = position < 0 ? [] : this.idle.splice(position, 1);
    const connection = idle ?? this.create();
    connection.requests++;
    return connection;
  }

  /** Whether a request that begins now may reach a process that isn't known. */
  isUnproven(now: number): boolean {
    const {proof} = this.options;
    if (proof?.isNeeded(now) !== true) return false;
    const isProven = ({openedAt}: ServerConnection) =>
      proof.covers(openedAt, now);
    return !proof.covers(now, now) && !this.idle.some(isProven);
  }

  /** Whether any open connection leads to the known process. */
  hasProof(now: number): boolean {
    const {proof} = this.options;
    return proof?.covers(this.oldestOpenedAt, now) === true;
  }

  /** Whether a request on an open connection may reach another process. */
  leadsElsewhere({openedAt}: ServerConnection): boolean {
    const {proof, clock} = this.options;
    const now = clock.now();
    return proof?.isNeeded(now) === true && !proof.covers(openedAt, now);
  }

  /** Ends this side of a connection. */
  halfClose(connection: ServerConnection): void {
    connection.isHalfClosed = true;
    connection.socket?.end();
  }

  /** Records a byte of a response of this server, at a monotonic time. */
  recordByte({openedAt}: ServerConnection, now: number): void {
    this.options.proof?.recordByte(openedAt, now);
  }

  /** Records that its process has ended. */
  recordEnd(): void {
    const {proof, clock} = this.options;
    proof?.recordEnd(clock.now());
  }

  /** Returns a connection to the pool after a complete response. */
  release(connection: ServerConnection): void {
    connection.isAwaiting = false;
    connection.socket?.offer();
    const isExcess = this.open > this.limit;
    const isReusable = this.reuse.isAllowed(this.options.clock.now());
    if (isExcess || isUncertain(connection)) {
      this.drop(connection);
    } else if (!isReusable) {
      this.leave(connection);
    } else {
      this.idle.push(connection);
      this.options.onFree?.();
    }
  }

  /** Records bytes that no request waited for; more may follow on others. */
  recordUnsolicited(place: UnsolicitedPlace): void {
    this.pauseReuse();
    this.options.onUnsolicited?.(place);
  }

  /** Gives each request a connection of its own for some time. */
  pauseReuse(): void {
    this.reuse.pause(this.options.clock.now());
    this.closeIdle();
  }

  /** Ends a connection, which is open until the server has closed it as well. */
  private leave(connection: ServerConnection): void {
    this.halfClose(connection);
    const drop = () => this.drop(connection);
    const cancel = this.options.clock.setTimer(closeMilliseconds, drop);
    connection.client.once('disconnect', () => {
      cancel();
      drop();
    });
  }

  /** Closes a connection whose state is uncertain, unless it is late. */
  drop(connection: ServerConnection): void {
    if (connection.isLate) return;
    this.markClosed(connection);
    connection.unused?.destroy();
    void connection.client.destroy().catch(() => undefined);
  }

  closeIdle(): void {
    for (const connection of this.idle.splice(0)) this.drop(connection);
  }

  close(): void {
    this.closeIdle();
  }

  private get oldestOpenedAt(): number {
    return Math.min(...this.openedTimes.values());
  }

  private findIdle(): number {
    const {idle} = this;
    const {proof, clock} = this.options;
    const now = clock.now();
    if (proof?.isNeeded(now) !== true) return idle.length - 1;
    const proven = idle.findLastIndex(({openedAt}) =>
      proof.covers(openedAt, now),
    );
    return proven < 0 ? idle.length - 1 : proven;
  }

  private create(): ServerConnection {
    this.open++;
    const connection: ServerConnection = {
      client: new Client(`http://${this.address}`, {
        pipelining: 1,
        headersTimeout: 0,
        bodyTimeout: 0,
        keepAliveTimeout: idleMilliseconds,
        keepAliveTimeoutThreshold: idleMarginMilliseconds,
        maxHeaderSize: maxAnswerHeaderBytes,
        connect: (_, callback) => this.connect(connection, callback),
      }),
      wasReset: false,
      isClosed: false,
      isHalfClosed: false,
      isEstablished: false,
      openedAt: Infinity,
      isAwaiting: false,
      requests: 0,
      isLate: false,
    };
    connection.client.on('disconnect', (...[, , error]) => {
      const {code} = error;
      this.markClosed(connection);
      if (hasUnsolicitedBytes(connection, error)) {
        this.recordUnsolicited('idle');
        return;
      }
      const isByPeer = peerCodes.has(code) && !connection.isHalfClosed;
      if (isByPeer && this.established === 0) this.recordEnd();
    });
    return connection;
  }

  private connect(
    connection: ServerConnection,
    callback: ConnectCallback,
  ): void {
    const {
      clock,
      connectTimeout,
      maxConnectTimeoutMilliseconds,
      onConnect,
      onConnectEnd,
    } = this.options;
    const {unused} = connection;
    connection.unused = undefined;
    if (unused?.destroyed === false) {
      queueMicrotask(() => callback(null, unused));
      return;
    }
    onConnect();
    const startedAt = clock.now();
    const socket = openSocket(
      this.address,
      {timeoutMilliseconds: maxConnectTimeoutMilliseconds},
      (...outcome) => {
        cancelTimer();
        const [error, opened] = outcome;
        const milliseconds = clock.now() - startedAt;
        const end = connection.isLate ? 'late' : 'inTime';
        onConnectEnd?.(
          this.address,
          error === null ? end : 'missing',
          milliseconds,
        );
        if (error === null) {
          connectTimeout.record(milliseconds);
          connection.openedAt = clock.now();
        }
        if (connection.isLate) this.receiveLate(connection, error, opened);
        else {
          if (error === null) this.markEstablished(connection);
          callback(...outcome);
        }
      },
    );
    const giveUp = () => {
      const age = clock.now() - startedAt;
      const rest = connectTimeout.milliseconds - age;
      // Others that were late may have shown meanwhile that the link is busy.
      if (rest >= 1) {
        const milliseconds = Math.min(rest, timeoutPollMilliseconds);
        cancelTimer = clock.setTimer(milliseconds, giveUp);
        return;
      }
      // The least that it takes; without it, the timeout grows too late.
      connectTimeout.record(age);
      connection.isLate = true;
      this.late++;
      callback(new LateConnection(), null);
    };
    let cancelTimer = clock.setTimer(connectTimeout.milliseconds, giveUp);
    socket.limitOverhead(new ResponseOverhead());
    connection.socket = socket;
    connection.wasReset = false;
    socket.on('error', (error: NodeJS.ErrnoException) => {
      // undici destroys a connection that the peer closed with this error.
      if (error.code === 'UND_ERR_SOCKET') return;
      if (connection.socket === socket) connection.wasReset = true;
    });
  }

  /** Keeps a late connection for another request, or ends one that failed. */
  private receiveLate(
    connection: ServerConnection,
    error: Error | null,
    socket: PausableSocket | null,
  ): void {
    const {clock, onUnreachable, onFree} = this.options;
    connection.isLate = false;
    this.late--;
    if (error !== null || socket === null) {
      this.drop(connection);
      if (error !== null) onUnreachable?.(error);
      return;
    }
    connection.unused = socket;
    this.markEstablished(connection);
    const dropUnused = () => {
      if (connection.unused === socket) this.drop(connection);
    };
    socket.once('close', dropUnused);
    clock.setTimer(maxUnusedMilliseconds, dropUnused);
    if (this.open > this.limit) {
      this.drop(connection);
      return;
    }
    this.idle.push(connection);
    onFree?.();
  }

  private markEstablished(connection: ServerConnection): void {
    if (connection.isClosed) return;
    this.openedTimes.set(connection, connection.openedAt);
    if (connection.isEstablished) return;
    connection.isEstablished = true;
    this.established++;
  }

  private markClosed(connection: ServerConnection): void {
    if (connection.isClosed) return;
    connection.isClosed = true;
    this.openedTimes.delete(connection);
    this.open--;
    if (connection.isEstablished) this.established--;
    this.options.onFree?.();
    const position = this.idle.indexOf(connection);
    if (position >= 0) this.idle.splice(position, 1);
  }
}

/** Whether a connection has ended, or holds a part of the request. */
function isUncertain({isClosed, wasReset, socket}: ServerConnection): boolean {
  const holdsUnsentBytes = socket !== undefined && socket.writableLength > 0;
  return isClosed || wasReset || holdsUnsentBytes;
}

/** Whether the client closed a connection for bytes that no request waited for. */
function hasUnsolicitedBytes(
  {isAwaiting, isHalfClosed, socket}: ServerConnection,
  error: NodeJS.ErrnoException,
): boolean {
  if (isAwaiting || isHalfClosed) return false;
  // The code is also that of a connection that the peer has ended.
  const isUnexpected =
    error.code === 'UND_ERR_SOCKET' && socket?.readableEnded === false;
  return isUnexpected || error instanceof errors.HTTPParserError;
}
