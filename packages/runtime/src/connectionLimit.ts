/**
 * @fileoverview A limit for the open connections of one server, so that descriptors
 * remain for the other connections of the process.
 *
 * Load pattern: clients that open connections and leave them. Beyond the limit, the
 * one that was idle for longest is closed for a new one; then the one whose request
 * has been arriving for longest. A connection with a request that is being handled
 * is not closed; if all have one, the new connection is.
 *
 * Some connections may be reserved for preferred requests, by which clients show
 * themselves. So a new one beyond the limit of the others is kept until its first
 * request has come, and those that have had a preferred one are kept for good.
 */
import {
  type Server,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import {type Socket} from 'node:net';

import {type Clock} from './clock.js';
import {type Logger} from './logger.js';

/** Requests of a connection. */
interface ConnectionUse {
  /** Requests that are arriving, or wait behind others. */
  reading: number;
  /** Requests that were read, and are not answered yet. */
  handling: number;
  /** Whether a preferred request has come on it. */
  isPreferred: boolean;
  /** Whether it is one of the reserved ones until its first request has come. */
  isOnTrial: boolean;
}

/** Which connections may be closed, first choice first. */
const closable: ReadonlyArray<(use: ConnectionUse) => boolean> = [
  ({reading, handling}) => reading + handling === 0,
  ({handling}) => handling === 0,
];

/** Options of a limit. */
export interface ConnectionLimitOptions {
  /** Connections that are open at once. */
  maxConnections: number;
  /** Those of them that only preferred requests get; half of them at most. */
  reservedConnections?: number;
  /** Whether the connection of a request is to be kept for it. */
  isPreferred?: (request: IncomingMessage) => boolean;
  /** Called for each connection that is closed for want of descriptors. */
  onClosed?: () => void;
}

/** Default options. */
export const defaultConnectionLimitOptions: ConnectionLimitOptions = {
  maxConnections: Infinity,
};

/** Least time between two lines on closed connections. */
const logMilliseconds = 10_000;

/** What a line on closed connections says besides their number. */
export interface ClosedConnectionFields {
  /** Address of the server, `host:port`. */
  address: string;
  maxConnections: number;
}

/**
 * Returns a function that logs that a connection was closed for want of
 * descriptors: the first one, and from then on their number from time to time.
 */
export function logClosedConnections(
  {logger, clock}: {logger: Logger; clock: Pick<Clock, 'now'>},
  fields: ClosedConnectionFields,
): () => void {
  let closed = 0;
  let loggedAt = -Infinity;
  return () => {
    closed++;
    const now = clock.now();
    if (now - loggedAt < logMilliseconds) return;
    loggedAt = now;
    logger.warn(
      {...fields, closed},
      'connections closed, as too many are open',
    );
    closed = 0;
  };
}

/** Connections of one server; those unused for longest come first. */
export class ConnectionLimit {
  private readonly uses = new Map<Socket, ConnectionUse>();

  constructor(
    private readonly options: ConnectionLimitOptions = defaultConnectionLimitOptions,
  ) {}

  /** Follows the connections of a server and the requests on them. */
  watch(server: Server): void {
    server.on('connection', (socket: Socket) => this.add(socket));
    server.on('request', (request, response) => this.follow(request, response));
  }

  /** Number of open connections. */
  get open(): number {
    return this.uses.size;
  }

  private add(socket: Socket): void {
    const use: ConnectionUse = {
      reading: 0,
      handling: 0,
      isPreferred: false,
      isOnTrial: false,
    };
    this.uses.set(socket, use);
    socket.once('close', () => this.uses.delete(socket));
    if (this.uses.size > this.options.maxConnections) {
      this.close(this.findVictim(socket) ?? socket);
    } else if (this.exceedsReserve()) {
      const victim = this.findVictim(socket, ({isOnTrial}) => !isOnTrial);
      if (victim === undefined) use.isOnTrial = true;
      else this.close(victim);
    }
  }

  /** Whether some of the reserved connections are in use by others. */
  private exceedsReserve(): boolean {
    const {maxConnections, reservedConnections = 0} = this.options;
    const least = Math.ceil(maxConnections / 2);
    const forOthers = Math.max(least, maxConnections - reservedConnections);
    if (reservedConnections === 0 || this.uses.size <= forOthers) return false;
    const others = [...this.uses.values()].filter(use => !use.isPreferred);
    return others.length > forOthers;
  }

  /** Records a request; returns false if its connection is closed. */
  private endTrial(request: IncomingMessage, use: ConnectionUse): boolean {
    use.isPreferred ||= this.options.isPreferred?.(request) === true;
    const isRefused =
      use.isOnTrial && !use.isPreferred && this.exceedsReserve();
    use.isOnTrial = false;
    if (isRefused) this.close(request.socket);
    return !isRefused;
  }

  private follow(request: IncomingMessage, response: ServerResponse): void {
    const {socket} = request;
    const use = this.uses.get(socket);
    if (use === undefined || !this.endTrial(request, use)) return;
    let phase: keyof ConnectionUse = 'reading';
    use.reading++;
    request.once('end', () => {
      if (phase !== 'reading') return;
      phase = 'handling';
      use.reading--;
      use.handling++;
    });
    response.once('close', () => {
      use[phase]--;
      // Moves it to the end.
      if (this.uses.delete(socket)) this.uses.set(socket, use);
    });
  }

  private close(socket: Socket): void {
    this.uses.delete(socket);
    this.options.onClosed?.();
    socket.destroy();
  }

  private findVictim(
    newest: Socket,
    isCandidate: (use: ConnectionUse) => boolean = () => true,
  ): Socket | undefined {
    for (const isClosable of closable) {
      for (const [socket, use] of this.uses) {
        const isOther = socket !== newest && !use.isPreferred;
        if (isOther && isCandidate(use) && isClosable(use)) return socket;
      }
    }
    return undefined;
  }
}
