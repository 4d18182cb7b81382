/**
 * @fileoverview Peer calls between machines in virtual time. A connection carries
 * one call at a time, as in `PeerCallClient`; packets that a cut or silent
 * path loses are sent again after a time that doubles. Messages take the
 * processors and links of machines that have a capacity.
 */
import {
  CallContext,
  type CallOptions,
  type PeerCallClient,
} from '@dogwoodtrestle/runtime';

import {type MessageCost, windowBytes} from './machineCapacity.js';
import {costOfMessage} from './messageSize.js';
import {type VirtualMachine, type VirtualScheduler} from './virtualMachine.js';

/** Limit of connections per address, as in `PeerCallClient`. */
const connectionsPerAddress = 6;

/** Time for one attempt to connect, as in `PeerCallClient`. */
const connectTimeoutMilliseconds = 400;

/** Time after which a lost packet is sent again; doubled each time. */
const firstRetransmissionMilliseconds = 200;

/** Variation of the delays at a link, as a share of the mean. */
const delayVariation = 0.3;

interface Connection {
  /** Process that accepted it. */
  remoteEpoch: number;
  isBusy: boolean;
  isClosed: boolean;
  /** Packets are lost until then. */
  silentUntil: number;
  /** Called when the call on it has ended. */
  onClosed: () => void;
}

/** What a handler returns, or why it fails. */
type Reply = {value: unknown} | {error: string};

const noCost: MessageCost = {
  bytes: 0,
  jsonBytes: 0,
  serializedBytes: 0,
  compressedBytes: 0,
};

interface Connections {
  open: Connection[];
  pending: number;
  waiting: Array<() => void>;
}

/** Connections between all machines. */
export class VirtualNetwork {
  private readonly machines = new Map<string, VirtualMachine>();
  private readonly cuts = new Map<string, number>();
  private readonly pools = new Map<string, Map<string, Connections>>();
  private handledCalls = 0;

  constructor(
    private readonly scheduler: VirtualScheduler,
    private readonly random: () => number,
    private readonly baseMilliseconds: number,
  ) {}

  /** Number of calls that reached a process. */
  get calls(): number {
    return this.handledCalls;
  }

  /** Connects a machine. */
  add(machine: VirtualMachine): void {
    this.machines.set(machine.address, machine);
  }

  /** Cuts the path between two machines, in both directions. */
  cut(a: VirtualMachine, b: VirtualMachine): void {
    const key = pathOf(a, b);
    this.cuts.set(key, (this.cuts.get(key) ?? 0) + 1);
  }

  /** Ends one cut of a path. */
  join(a: VirtualMachine, b: VirtualMachine): void {
    const key = pathOf(a, b);
    const cuts = (this.cuts.get(key) ?? 0) - 1;
    if (cuts > 0) this.cuts.set(key, cuts);
    else this.cuts.delete(key);
  }

  /** Silences the connections that a machine has now, but no new ones. */
  silence(from: VirtualMachine, until: number, share: number): void {
    for (const {open} of this.pools.get(from.address)?.values() ?? []) {
      for (const connection of open) {
        if (this.random() < share) connection.silentUntil = until;
      }
    }
  }

  /** Creates the client of a process that just started on a machine. */
  clientOf(from: VirtualMachine, connectAttempts: number): PeerCallClient {
    const {epoch} = from;
    const pools = new Map<string, Connections>();
    this.pools.set(from.address, pools);
    const call = (
      address: string,
      method: string,
      message: unknown,
      options: CallOptions,
    ): Promise<unknown> => {
      const pool = pools.get(address) ?? {open: [], pending: 0, waiting: []};
      pools.set(address, pool);
      return new Promise((resolve, reject) => {
        const exchange = new Exchange(options, {
          schedule: (milliseconds, run) =>
            this.scheduler.after(milliseconds, () => from.run(epoch, run)),
          resolve,
          reject: reason => reject(new Error(`${method}: ${reason}`)),
        });
        const to = this.machines.get(address);
        if (to === undefined) return exchange.fail('unknown address');
        this.acquire(from, to, pool, connectAttempts, exchange, connection => {
          const reset = () => {
            const settle = () => exchange.fail('connection reset');
            this.transmit(to, from, connection, () => from.run(epoch, settle));
          };
          const request = this.costOf(from, to, message);
          const context = new CallContext();
          connection.onClosed = () => {
            // A lost packet tells nobody that the caller has given up.
            if (this.isLost(from, to)) return;
            this.scheduler.after(this.delay(from, to), () => context.end());
          };
          const arrive = () => {
            if (!to.isRunning || to.epoch !== connection.remoteEpoch) {
              return reset();
            }
            this.handle(to, method, message, {request, context}, reply =>
              this.respond(to, from, connection, reply, context, () =>
                from.run(epoch, () => {
                  if ('error' in reply) exchange.fail(reply.error);
                  else exchange.succeed(reply.value);
                }),
              ),
            );
          };
          this.write(from, request, () =>
            this.send(from, to, connection, request.bytes, arrive),
          );
        });
      });
    };
    const renew = (address: string) => {
      pools.delete(address);
    };
    return {call, renew, close: async () => {}} as unknown as PeerCallClient;
  }

  /** Returns what a message takes; nothing where no capacity is charged. */
  private costOf(
    from: VirtualMachine,
    to: VirtualMachine,
    message: unknown,
  ): MessageCost {
    if (from.capacity === undefined && to.capacity === undefined) return noCost;
    return costOfMessage(message);
  }

  /** Calls back once a machine has written a message. */
  private write(
    from: VirtualMachine,
    cost: MessageCost,
    onWritten: () => void,
  ): void {
    const delay = from.capacity?.write(cost) ?? 0;
    if (delay < 1) onWritten();
    else this.scheduler.after(delay, onWritten);
  }

  private respond(
    from: VirtualMachine,
    to: VirtualMachine,
    connection: Connection,
    reply: Reply,
    context: CallContext,
    settle: () => void,
  ): void {
    const value = 'value' in reply ? reply.value : reply;
    const cost = this.costOf(from, to, value);
    const read = () => {
      const delay = to.capacity?.readReply(cost) ?? 0;
      if (delay < 1) settle();
      else this.scheduler.after(delay, settle);
    };
    this.write(from, cost, () =>
      this.send(from, to, connection, cost.bytes, read, () => context.end()),
    );
  }

  /**
   * Sends a message in pieces of a connection's window, each once the one before
   * it has arrived.
   *
   * @param onSent Called when the last piece was handed over.
   */
  private send(
    from: VirtualMachine,
    to: VirtualMachine,
    connection: Connection,
    bytes: number,
    arrive: () => void,
    onSent: () => void = () => undefined,
  ): void {
    if (connection.isClosed) return;
    const piece = Math.min(bytes, windowBytes);
    if (piece === bytes) onSent();
    const receive = () => {
      if (piece < bytes) {
        this.send(from, to, connection, bytes - piece, arrive, onSent);
      } else {
        arrive();
      }
    };
    this.carry(from.capacity?.send(piece), () =>
      this.transmit(from, to, connection, () =>
        this.carry(to.capacity?.receive(piece), receive),
      ),
    );
  }

  private carry(delay = 0, callback: () => void): void {
    if (delay < 1) callback();
    else this.scheduler.after(delay, callback);
  }

  private handle(
    to: VirtualMachine,
    method: string,
    message: unknown,
    {request, context}: {request: MessageCost; context: CallContext},
    respond: (reply: Reply) => void,
  ): void {
    const {epoch} = to;
    const delay =
      to.capacity?.readCall(request) ?? to.handlingDelay(this.random);
    this.handledCalls++;
    const start = () => {
      const handler = to.handlers[method] as
        ((message: unknown, call: CallContext) => Promise<unknown>) | undefined;
      if (handler === undefined) return respond({error: 'unknown method'});
      handler(message, context).then(
        value => to.run(epoch, () => respond({value})),
        (error: unknown) =>
          to.run(epoch, () => respond({error: String(error)})),
      );
    };
    if (delay < 1) to.run(epoch, start);
    else this.scheduler.after(delay, () => to.run(epoch, start));
  }

  private acquire(
    from: VirtualMachine,
    to: VirtualMachine,
    pool: Connections,
    attempts: number,
    exchange: Exchange,
    use: (connection: Connection) => void,
  ): void {
    if (exchange.isSettled) return;
    const isReset = ({remoteEpoch}: Connection) =>
      to.isPowered && remoteEpoch !== to.epoch;
    pool.open = pool.open.filter(one => !one.isClosed && !isReset(one));
    const take = (connection: Connection) => {
      connection.isBusy = true;
      exchange.onSettled = isComplete => {
        connection.isBusy = false;
        connection.isClosed ||= !isComplete;
        connection.onClosed();
        pool.waiting.shift()?.();
      };
      use(connection);
    };
    const idle = pool.open.find(({isBusy}) => !isBusy);
    if (idle !== undefined) return take(idle);
    if (pool.open.length + pool.pending >= connectionsPerAddress) {
      pool.waiting.push(() =>
        this.acquire(from, to, pool, attempts, exchange, use),
      );
      return;
    }
    pool.pending++;
    this.connect(from, to, attempts, remoteEpoch => {
      pool.pending--;
      if (remoteEpoch === undefined) {
        exchange.fail('no connection');
        pool.waiting.shift()?.();
        return;
      }
      const connection = {
        remoteEpoch,
        isBusy: false,
        isClosed: false,
        silentUntil: 0,
        onClosed: () => undefined,
      };
      pool.open.push(connection);
      if (exchange.isSettled) pool.waiting.shift()?.();
      else take(connection);
    });
  }

  /** Calls back with the process that accepts a connection, if one does. */
  private connect(
    from: VirtualMachine,
    to: VirtualMachine,
    attempts: number,
    onSettled: (remoteEpoch: number | undefined) => void,
  ): void {
    const {epoch} = from;
    let isSettled = false;
    const settle = (remoteEpoch: number | undefined) =>
      from.run(epoch, () => {
        if (isSettled) return;
        isSettled = true;
        onSettled(remoteEpoch);
      });
    const total = attempts * connectTimeoutMilliseconds;
    this.scheduler.after(total, () => settle(undefined));
    const attempt = () => {
      if (isSettled || this.isLost(from, to)) return;
      const delay = this.delay(from, to) + this.delay(to, from);
      this.scheduler.after(delay, () =>
        settle(to.isRunning ? to.epoch : undefined),
      );
    };
    attempt();
    for (let number = 1; number < attempts; number++) {
      this.scheduler.after(number * connectTimeoutMilliseconds, attempt);
    }
  }

  private transmit(
    from: VirtualMachine,
    to: VirtualMachine,
    connection: Connection,
    arrive: () => void,
    retryMilliseconds = firstRetransmissionMilliseconds,
  ): void {
    if (connection.isClosed) return;
    const isSilent = this.scheduler.now < connection.silentUntil;
    if (isSilent || this.isLost(from, to)) {
      this.scheduler.after(retryMilliseconds, () =>
        this.transmit(from, to, connection, arrive, 2 * retryMilliseconds),
      );
      return;
    }
    this.scheduler.after(this.delay(from, to), arrive);
  }

  private isLost(from: VirtualMachine, to: VirtualMachine): boolean {
    const lossRate = Math.max(from.lossRate, to.lossRate);
    return (
      !to.isPowered ||
      !from.isPowered ||
      (this.cuts.size > 0 && this.cuts.has(pathOf(from, to))) ||
      (lossRate > 0 && this.random() < lossRate)
    );
  }

  private delay(from: VirtualMachine, to: VirtualMachine): number {
    const mean = from.linkMilliseconds + to.linkMilliseconds;
    const variation = 1 + delayVariation * (2 * this.random() - 1);
    return this.baseMilliseconds + mean * variation;
  }
}

/** Effects of a call on its caller. */
interface ExchangeCallbacks {
  schedule(milliseconds: number, run: () => void): () => void;
  resolve(value: unknown): void;
  reject(reason: string): void;
}

/** One call, which settles once. */
class Exchange {
  isSettled = false;
  onSettled: (isComplete: boolean) => void = () => undefined;
  private readonly cancelTimeout: () => void;

  constructor(
    {timeoutMilliseconds, signal}: CallOptions,
    private readonly callbacks: ExchangeCallbacks,
  ) {
    this.cancelTimeout = callbacks.schedule(timeoutMilliseconds, () =>
      this.fail('timed out'),
    );
    signal?.addEventListener('abort', () => this.fail('aborted'));
  }

  succeed(value: unknown): void {
    if (this.settle(true)) this.callbacks.resolve(value);
  }

  fail(reason: string): void {
    if (this.settle(false)) this.callbacks.reject(reason);
  }

  private settle(isComplete: boolean): boolean {
    if (this.isSettled) return false;
    this.isSettled = true;
    this.cancelTimeout();
    this.onSettled(isComplete);
    return true;
  }
}

function pathOf(a: VirtualMachine, b: VirtualMachine): string {
  return [a.address, b.address].sort().join('|');
}
