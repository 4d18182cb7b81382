/** @fileoverview Finds ports that nothing listens on. */
import {once} from 'node:events';
import {type AddressInfo, createServer} from 'node:net';

/** Returns a port of the address that was free at the time of the call. */
export async function freePort(host: string): Promise<number> {
  const server = createServer().listen(0, host);
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
}

/** Whether nothing listens on a port of the address. */
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
