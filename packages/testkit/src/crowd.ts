/**
 * @fileoverview A crowd of clients that keep to no limit: each opens a connection,
 * sends bytes until they are all sent, and reads nothing or little.
 */
import net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

/** Bytes that one client sends: a start, then a part again and again. */
export interface ClientBytes {
  start: string;
  part: Buffer;
  /** How often the part is sent. */
  count: number;
  /** Time between two parts; sent as fast as they are taken without it. */
  pauseMilliseconds?: number;
}

/** Time that a crowd has to send what it has to. */
const crowdMilliseconds = 8_000;

/** A crowd whose connections stay open until `close`. */
export class Crowd {
  private readonly sockets: net.Socket[] = [];
  private isOver = false;

  private constructor() {}

  /** Opens connections, and returns once all have sent or the time is over. */
  static async send(
    address: string,
    connections: number,
    bytes: ClientBytes,
  ): Promise<Crowd> {
    const crowd = new Crowd();
    const clients = Array.from({length: connections}, () =>
      crowd.runClient(address, bytes),
    );
    await Promise.race([Promise.all(clients), sleep(crowdMilliseconds)]);
    return crowd;
  }

  close(): void {
    this.isOver = true;
    for (const socket of this.sockets) socket.destroy();
  }

  private async runClient(address: string, bytes: ClientBytes): Promise<void> {
    const {start, part, count, pauseMilliseconds} = bytes;
    const [host, port] = address.split(':');
    const socket = net.connect({host, port: Number(port)});
    socket.on('error', () => undefined);
    // What is sent back stays unread.
    socket.pause();
    this.sockets.push(socket);
    const isGone = () => this.isOver || socket.destroyed;
    if (start !== '') socket.write(start);
    for (let sent = 0; sent < count && !isGone(); sent++) {
      if (!socket.write(part)) await drained(socket);
      if (pauseMilliseconds !== undefined) await sleep(pauseMilliseconds);
    }
  }
}

function drained(socket: net.Socket): Promise<void> {
  return new Promise(resolve => {
    const finish = () => {
      socket.off('drain', finish);
      socket.off('close', finish);
      resolve();
    };
    socket.on('drain', finish);
    socket.on('close', finish);
  });
}

/** Encodes bytes in chunks of a size, repeated up to about 64 KiB. */
export function chunksOf(size: number): Buffer {
  const one = `${size.toString(16)}\r\n${'x'.repeat(size)}\r\n`;
  return Buffer.from(one.repeat(Math.max(1, Math.floor(65_536 / one.length))));
}

/** Bytes of a body that `chunksOf` holds. */
export function bodyBytesOf(size: number): number {
  return Math.max(1, Math.floor(65_536 / chunkLength(size))) * size;
}

function chunkLength(size: number): number {
  return size + size.toString(16).length + 4;
}

/** Sends bytes on a new connection; returns the first ones of the answer. */
export function exchangeBytes(address: string, bytes: string): Promise<string> {
  const [host, port] = address.split(':');
  return new Promise((resolve, reject) => {
    const socket = net.connect({host, port: Number(port)});
    socket.on('error', reject);
    socket.once('data', data => {
      resolve(data.toString());
      socket.destroy();
    });
    socket.write(bytes);
  });
}

/** Time that a client takes from its last byte sent to the first one it reads. */
const readDelayMilliseconds = 100;

/**
 * Sends bytes on a new connection whether they are taken or not, and reads nothing
 * meanwhile; returns what it then reads until the connection ends.
 */
export async function sendThenRead(
  address: string,
  {start, part, count}: ClientBytes,
): Promise<string> {
  const [host, port] = address.split(':');
  const socket = net.connect({host, port: Number(port)});
  socket.on('error', () => undefined);
  const closed = new Promise(resolve => socket.once('close', resolve));
  socket.write(start);
  for (let sent = 0; sent < count; sent++) {
    socket.write(part);
    await sleep(1);
  }
  await sleep(readDelayMilliseconds);
  let answer = '';
  socket.on('data', data => (answer += data.toString()));
  await closed;
  return answer;
}
