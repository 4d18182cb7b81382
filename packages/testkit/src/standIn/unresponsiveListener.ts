/**
 * @fileoverview A listener that never accepts, so that further connections to
 * it hang as those to an instance without power do.
 */
import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

/** Listens and blocks; the parent kills it. */
const program = `
  const server = require('node:net').createServer();
  server.listen({port: 0, host: '127.0.0.1', backlog: 1}, () => {
    process.send(server.address().port, () => {
      Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 20000);
    });
  });
`;

/** More connections than the kernel queues for a backlog of one. */
const fillers = 4;

/** Time for the kernel to queue them. */
const settleMilliseconds = 100;

/** A running listener. */
export class UnresponsiveListener {
  private constructor(
    readonly address: string,
    private readonly child: ChildProcess,
    private readonly sockets: readonly Socket[],
  ) {}

  static async start(): Promise<UnresponsiveListener> {
    const child = spawn(process.execPath, ['-e', program], {
      stdio: ['ignore', 'ignore', 'inherit', 'ipc'],
    });
    const [port] = (await once(child, 'message')) as [number];
    const sockets = Array.from({length: fillers}, () => {
      const socket = connect(port, '127.0.0.1');
      socket.on('error', () => undefined);
      return socket;
    });
    await sleep(settleMilliseconds);
    return new UnresponsiveListener(`127.0.0.1:${port}`, child, sockets);
  }

  async stop(): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    this.child.kill('SIGKILL');
    await once(this.child, 'exit');
  }
}
