/**
 * @fileoverview A TCP relay that stands for the network in front of one
 * instance. Links are told apart by the source's local address, and each can
 * be cut, delayed or made to swallow bytes, in one direction or both.
 */
import {once} from 'node:events';
import {connect, createServer, type Server, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

/** What happens to the traffic of a link. */
export interface LinkState {
  /** Refuses connections and resets those that stand. */
  cut: boolean;
  /** Silently drops what goes towards the instance. */
  dropForward: boolean;
  /** Silently drops what comes back. */
  dropBackward: boolean;
  /** Delay in each direction. */
  delayMilliseconds: number;
}

/** A link without faults. */
export const healthyLink: LinkState = {
  cut: false,
  dropForward: false,
  dropBackward: false,
  delayMilliseconds: 0,
};

/** Where a relay listens, and where it sends to. */
export interface RelayOptions {
  host: string;
  port: number;
  targetPort: number;
}

interface Connection {
  source: string;
  sockets: Socket[];
}

/** Relay in front of the peer port of one instance. */
export class Relay {
  private readonly links = new Map<string, LinkState>();
  private readonly connections = new Set<Connection>();
  private readonly server: Server;

  constructor(readonly options: RelayOptions) {
    this.server = createServer(socket => this.accept(socket));
  }

  /** Starts to listen. */
  async start(): Promise<void> {
    this.server.listen(this.options.port, this.options.host);
    await once(this.server, 'listening');
  }

  /** Sets the state of the link from a source address. */
  setLink(source: string, state: Partial<LinkState>): void {
    const before = this.link(source);
    this.links.set(source, {...healthyLink, ...state});
    // Bytes that were dropped would leave a gap in a stream that lives on.
    const damaged = before.dropForward || before.dropBackward;
    if (state.cut !== true && !damaged) return;
    for (const connection of this.connections) {
      if (connection.source === source) this.reset(connection);
    }
  }

  /** Closes the relay and its connections. */
  async stop(): Promise<void> {
    for (const connection of this.connections) this.reset(connection);
    this.server.close();
    await once(this.server, 'close');
  }

  private link(source: string): LinkState {
    return this.links.get(source) ?? healthyLink;
  }

  private accept(incoming: Socket): void {
    const source = incoming.remoteAddress ?? '';
    if (this.link(source).cut) return void incoming.resetAndDestroy();
    const {host, targetPort} = this.options;
    // The target sees the true source address.
    const outgoing = connect({host, port: targetPort, localAddress: source});
    const connection = {source, sockets: [incoming, outgoing]};
    this.connections.add(connection);
    for (const socket of connection.sockets) {
      socket.setNoDelay(true);
      socket.on('error', () => this.reset(connection));
      socket.on('close', () => this.reset(connection));
    }
    void this.pump(incoming, outgoing, source, 'dropForward');
    void this.pump(outgoing, incoming, source, 'dropBackward');
  }

  private async pump(
    from: Socket,
    to: Socket,
    source: string,
    swallow: 'dropForward' | 'dropBackward',
  ): Promise<void> {
    try {
      for await (const bytes of from as AsyncIterable<Buffer>) {
        const {delayMilliseconds} = this.link(source);
        if (delayMilliseconds > 0) await sleep(delayMilliseconds);
        if (this.link(source)[swallow]) continue;
        if (!to.write(bytes)) await once(to, 'drain');
      }
      to.end();
    } catch {
      to.destroy();
    }
  }

  private reset(connection: Connection): void {
    this.connections.delete(connection);
    for (const socket of connection.sockets) socket.destroy();
  }
}
