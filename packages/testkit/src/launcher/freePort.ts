/** @fileoverview Finds free TCP ports. */
import {once} from 'node:events';
import {createServer} from 'node:net';

/**
 * Ports are below the ephemeral range (Linux: from 32,768 on); an outgoing
 * connection could otherwise take a port before a server listens on it.
 */
const firstPort = 14_000;

/** Ports per process ID, so that concurrent processes rarely collide. */
const portsPerProcess = 90;

const portBlocks = 200;

let nextOffset = 0;

/** Returns a free port of an address; successive calls give different ports. */
export async function freePort(host: string): Promise<number> {
  const blockStart = firstPort + (process.pid % portBlocks) * portsPerProcess;
  for (;;) {
    const port = blockStart + (nextOffset++ % portsPerProcess);
    if (await isFree(host, port)) return port;
  }
}

/** Returns an address of the loopback interface whose port is free. */
export async function freeAddress(): Promise<string> {
  const host = '127.0.0.1';
  return `${host}:${await freePort(host)}`;
}

/** Whether a server can listen on a port of an address. */
export async function isFree(host: string, port: number): Promise<boolean> {
  const server = createServer().listen(port, host);
  try {
    await once(server, 'listening');
  } catch {
    return false;
  }
  server.close();
  await once(server, 'close');
  return true;
}
