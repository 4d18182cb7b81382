/**
 * @fileoverview Divides a server's time for parsing among its connections.
 *
 * Load pattern: clients whose bytes are costly to parse, bodies in chunks of a byte or
 * requests without end. Node.js reads 64 KiB of a connection and parses all of it, a
 * callback for each chunk and each head: tens of milliseconds, in which no other
 * connection is served, and objects for hundreds of requests that are then refused.
 *
 * Here a read is parsed in slices. A connection that has used its turn waits behind
 * the others that have, and one of them gets a turn in each pass of the event loop;
 * connections whose bytes are cheap go on meanwhile. What was read and isn't parsed
 * stays in the socket. Node.js also runs its callbacks faster this way, as it doesn't
 * empty the queue of microtasks after each.
 */
import {type Server} from 'node:http';
import {type Socket} from 'node:net';

/** Limits of a turn. */
export interface ParsingTurnOptions {
  /** Bytes of a read that is parsed at once: a head and an ordinary body. */
  wholeBytes: number;
  /** Bytes of the first slice of a longer read. */
  sliceBytes: number;
  /** Bytes of a slice after cheap ones, each of which doubles the next. */
  maxSliceBytes: number;
  /** Time that a connection parses at once; ordinary reads take a tenth of it. */
  turnMilliseconds: number;
  /** Monotonic time in milliseconds. */
  now: () => number;
  /** Runs a function in the next pass of the event loop. */
  defer: (run: () => void) => void;
}

/** Default limits. */
export const defaultParsingTurnOptions: ParsingTurnOptions = {
  wholeBytes: 16 * 1024,
  sliceBytes: 4 * 1024,
  maxSliceBytes: 16 * 1024,
  turnMilliseconds: 2,
  now: () => performance.now(),
  defer: run => void setImmediate(run),
};

/** Share of a turn that a cheap slice takes less than. */
const cheapShare = 1 / 16;

/** What gets the bytes of a connection. */
type ByteListener = (bytes: Buffer) => void;

/** Divides the time of a server among its connections. */
export function divideParsing(
  server: Server,
  options: Partial<ParsingTurnOptions> = {},
): void {
  const turns = new ParsingTurns({...defaultParsingTurnOptions, ...options});
  server.on('connection', (socket: Socket) => turns.follow(socket));
}

class ParsingTurns {
  private readonly waiting = new Map<Socket, ByteListener>();
  private isScheduled = false;

  constructor(private readonly options: ParsingTurnOptions) {}

  /** Takes the place of the parser as the listener to a connection's bytes. */
  follow(socket: Socket): void {
    const [parse] = socket.listeners('data') as ByteListener[];
    if (parse === undefined) return;
    let isOver = false;
    const receive = (bytes: Buffer) => {
      // What follows bytes that were dropped begins inside a request.
      isOver ||= socket.destroyed || socket.writableEnded;
      if (isOver) return;
      // Node.js resumes a connection whenever a request is read further.
      if (this.waiting.has(socket)) putBack(socket, bytes);
      else this.parseInTurn(socket, bytes, parse, receive);
    };
    socket.off('data', parse);
    socket.on('data', receive);
  }

  private parseInTurn(
    socket: Socket,
    bytes: Buffer,
    parse: ByteListener,
    receive: ByteListener,
  ): void {
    const {wholeBytes, sliceBytes, maxSliceBytes} = this.options;
    if (bytes.length <= wholeBytes) return parse(bytes);
    const {turnMilliseconds, now} = this.options;
    const begunAt = now();
    let size = sliceBytes;
    let used = 0;
    for (let rest = bytes; rest.length > 0;) {
      parse(rest.subarray(0, size));
      rest = rest.subarray(size);
      // The answer to what was parsed is the last one.
      if (socket.destroyed || socket.writableEnded) return;
      if (rest.length === 0) return;
      if (socket.isPaused()) {
        socket.unshift(rest); // The request that is to be read first resumes it.
        return;
      }
      const usedBefore = used;
      used = now() - begunAt;
      if (used >= turnMilliseconds) {
        putBack(socket, rest);
        this.wait(socket, receive);
        return;
      }
      const isCheap = used - usedBefore < turnMilliseconds * cheapShare;
      size = isCheap ? Math.min(size * 2, maxSliceBytes) : sliceBytes;
    }
  }

  private wait(socket: Socket, receive: ByteListener): void {
    this.waiting.set(socket, receive);
    this.schedule();
  }

  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    this.options.defer(this.giveTurn);
  }

  /** Lets the connection go on that has waited for longest. */
  private readonly giveTurn = (): void => {
    this.isScheduled = false;
    for (const [socket, receive] of this.waiting) {
      this.waiting.delete(socket);
      // Another listener is there once the rest of the connection is dropped.
      if (socket.destroyed || !socket.listeners('data').includes(receive)) {
        continue;
      }
      socket.resume();
      socket.read(); // Emits one buffer.
      break;
    }
    if (this.waiting.size > 0) this.schedule();
  };
}

function putBack(socket: Socket, bytes: Buffer): void {
  socket.pause(); // Not paused, it would emit them again.
  socket.unshift(bytes);
}
