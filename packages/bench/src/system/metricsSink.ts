/**
 * @fileoverview Receives the daemons' StatsD metrics and sums their counters.
 */
import {createSocket, type Socket} from 'node:dgram';

/** Sums of counters by metric. */
export class MetricsSink {
  private readonly sums = new Map<string, number>();
  private readonly socket: Socket = createSocket('udp4');

  /** Listens on a free loopback port and returns it. */
  start(): Promise<number> {
    this.socket.on('message', message => this.receive(message.toString()));
    return new Promise(resolve => {
      this.socket.bind(0, '127.0.0.1', () => {
        resolve(this.socket.address().port);
      });
    });
  }

  stop(): void {
    this.socket.close();
  }

  /** Returns the sum of a counter over all instances since the last reset. */
  sum(metric: string): number {
    return this.sums.get(metric) ?? 0;
  }

  reset(): void {
    this.sums.clear();
  }

  private receive(text: string): void {
    for (const line of text.split('\n')) {
      const match = /^([^:]+):(-?[\d.]+)\|c/.exec(line);
      if (match === null) continue;
      const [, name = '', value] = match;
      this.sums.set(name, this.sum(name) + Number(value));
    }
  }
}
