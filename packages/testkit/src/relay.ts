/**
 * @fileoverview A TCP relay that simulates network faults in front of one
 * instance. Links are identified by the source address; each can refuse
 * connections, delay bytes, or drop bytes in one direction or both.
 */
import {once} from 'node:events';
import {connect, createServer, type Server, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

/** Faults of a link. */
export interface LinkState {
  /** Refuses new connections and resets open ones. */
  cut: boolean;
  /** Silently drops bytes sent to the instance. */
  dropForward: boolean;
  /** Silently drops bytes sent by the instance. */
  dropBackward: boolean;
  /** Delay of every chunk in each direction. */
  delayMilliseconds: number;
}

/** A link without faults. */
export const healthyLink: LinkState = {
  cut: false,
  dropForward: false,
  dropBackward: false,
  delayMilliseconds: 0,
};

/** Address of a relay, and the port on the same host that it forwards to. */
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

  /** Starts listening. */
  async start(): Promise<void> {
    this.server.listen(this.options.port, this.options.host);
    await once(this.server, 'listening');
  }

  /**
   * Sets the state of the link from a source address; fields that are absent
   * are set to those of {@link healthyLink}.
   */
  setLink(source: string, state: Partial<LinkState>): void {
    const previous = this.linkState(source);
    this.links.set(source, {...healthyLink, ...state});
    // A connection that lost bytes must not continue: its stream has a gap.
    const hasLostBytes = previous.dropForward || previous.dropBackward;
    if (state.cut !== true && !hasLostBytes) return;
    for (const connection of this.connections) {
      if (connection.source === source) this.reset(connection);
    }
  }

  /** Stops listening and closes all connections. */
  async stop(): Promise<void> {
    for (const connection of this.connections) this.reset(connection);
    this.server.close();
    await once(this.server, 'close');
  }

  private linkState(source: string): LinkState {
    return this.links.get(source) ?? healthyLink;
  }

  private accept(incoming: Socket): void {
    const source = incoming.remoteAddress ?? '';
    if (this.linkState(source).cut) return void incoming.resetAndDestroy();
    const {host, targetPort} = this.options;
    // Lets the target see the address of the source.
    const outgoing = connect({host, port: targetPort, localAddress: source});
    const connection = {source, sockets: [incoming, outgoing]};
    this.connections.add(connection);
    for (const socket of connection.sockets) {
      socket.setNoDelay(true);
      socket.on('error', () => this.reset(connection));
      socket.on('close', () => this.reset(connection));
    }
    void this.forward(incoming, outgoing, source, 'dropForward');
    void this.forward(outgoing, incoming, source, 'dropBackward');
  }

  private async forward(
    from: Socket,
    to: Socket,
    source: string,
    dropFlag: 'dropForward' | 'dropBackward',
  ): Promise<void> {
    try {
      for await (const bytes of from as AsyncIterable<Buffer>) {
        const {delayMilliseconds} = this.linkState(source);
        if (delayMilliseconds > 0) await sleep(delayMilliseconds);
        if (this.linkState(source)[dropFlag]) continue;
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
