/**
 * @fileoverview Opens a connection to learn whether a process listens.
 */
import {openSocket} from './openSocket.js';

/**
 * Opens and closes a connection to `host:port`; returns the code of the error
 * that it fails with, if it has one. A host refuses connections
 * (`ECONNREFUSED`) to a port on which no process listens.
 */
export function connectionErrorCode(
  address: string,
  timeoutMilliseconds: number,
): Promise<string | undefined> {
  return new Promise(resolve => {
    openSocket(address, {timeoutMilliseconds}, (error, socket) => {
      socket?.destroy();
      const {code} = (error ?? {}) as NodeJS.ErrnoException;
      resolve(code);
    });
  });
}
