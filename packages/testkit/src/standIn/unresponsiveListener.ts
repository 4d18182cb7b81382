/**
 * @fileoverview A listener that never accepts connections and whose backlog is
 * full, so that connecting to it hangs as with a machine that is powered off.
 */
import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

/** Listens, reports its port and blocks the event loop until it is killed. */
const listenerScript = `
  const server = require('node:net').createServer();
  server.listen({port: 0, host: '127.0.0.1', backlog: 1}, () => {
    process.send(server.address().port, () => {
      Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 20000);
    });
  });
`;

/** Exceeds the number of connections that the kernel queues for a backlog of 1. */
const queuedConnections = 4;

/** Time for the kernel to queue these connections. */
const queueingMilliseconds = 100;

/** A listener in a child process. */
export class UnresponsiveListener {
  private constructor(
    readonly address: string,
    private readonly child: ChildProcess,
    private readonly sockets: readonly Socket[],
  ) {}

  /** Starts a listener and fills its backlog. */
  static async start(): Promise<UnresponsiveListener> {
    const child = spawn(process.execPath, ['-e', listenerScript], {
      stdio: ['ignore', 'ignore', 'inherit', 'ipc'],
    });
    const [port] = (await once(child, 'message')) as [number];
    const sockets = Array.from({length: queuedConnections}, () => {
      const socket = connect(port, '127.0.0.1');
      socket.on('error', () => undefined);
      return socket;
    });
    await sleep(queueingMilliseconds);
    return new UnresponsiveListener(`127.0.0.1:${port}`, child, sockets);
  }

  /** Closes the connections and kills the listener. */
  async stop(): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    this.child.kill('SIGKILL');
    await once(this.child, 'exit');
  }
}
