/**
 * @fileoverview A server whose responses never end, in each part of HTTP, to test
 * that its clients give them up.
 */
import net from 'node:net';

/** A response: its start, and bytes that are repeated until the close. */
export interface EndlessResponseBytes {
  start: string;
  rest: string;
}

const filler = 'x'.repeat(65_536);
const statusLine = 'HTTP/1.1 200 OK\r\n';
const chunked = `${statusLine}Transfer-Encoding: chunked\r\n\r\n`;

/** Responses without end in what is around their body. */
export const endlessOverheads: Record<string, EndlessResponseBytes> = {
  'a status line': {start: 'HTTP/1.1 200 ', rest: filler},
  'a header line': {start: `${statusLine}X: `, rest: filler},
  'header lines': {start: statusLine, rest: 'X: x\r\n'.repeat(10_000)},
  'informational responses': {
    start: '',
    rest: 'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n'.repeat(1_000),
  },
  'a chunk extension': {start: `${chunked}5;x=`, rest: filler},
  'an extension of each chunk': {
    start: chunked,
    rest: `1;x=${filler}\r\nx\r\n`,
  },
  'a chunk size': {start: chunked, rest: '0'.repeat(65_536)},
  trailers: {start: `${chunked}0\r\n`, rest: `X: ${filler}\r\n`},
  'bytes that are no HTTP': {start: '', rest: filler},
};

/** Responses whose body has no end. */
export const endlessBodies: Record<string, EndlessResponseBytes> = {
  'a body in chunks': {start: chunked, rest: `10000\r\n${filler}\r\n`},
  'a body to the close': {start: `${statusLine}\r\n`, rest: filler},
};

/** Answers each connection with the same bytes without end. */
export class EndlessServer {
  private readonly sockets = new Set<net.Socket>();
  private readonly server = net.createServer(socket => this.answer(socket));

  private constructor(private readonly bytes: EndlessResponseBytes) {}

  static async start(bytes: EndlessResponseBytes): Promise<EndlessServer> {
    const endless = new EndlessServer(bytes);
    const {server} = endless;
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    return endless;
  }

  get address(): string {
    const {port} = this.server.address() as net.AddressInfo;
    return `127.0.0.1:${port}`;
  }

  /** Bytes that the system took of all connections. */
  get sentBytes(): number {
    const counts = [...this.sockets].map(
      ({bytesWritten, writableLength}) => bytesWritten - writableLength,
    );
    return counts.reduce((sum, count) => sum + count, 0);
  }

  close(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private answer(socket: net.Socket): void {
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('data', () => sendEndlessly(socket, this.bytes));
  }
}

/** Sends a response until its connection is closed. */
export function sendEndlessly(
  socket: net.Socket,
  {start, rest}: EndlessResponseBytes,
): void {
  const write = () => {
    if (socket.destroyed) return;
    if (socket.write(rest)) setImmediate(write);
    else socket.once('drain', write);
  };
  socket.write(start);
  write();
}
