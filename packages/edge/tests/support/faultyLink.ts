/**
 * @fileoverview A link of a router that delays or loses what a test says. It imports
 * no values, so that the mock of the runtime may import it.
 */
import type * as runtime from '@dogwoodtrestle/runtime';
import {type ConnectCallback} from '@dogwoodtrestle/runtime';

/** State of the router's link. */
interface Link {
  /** Time that a connection takes, in milliseconds; Infinity if it is never made. */
  connectMilliseconds: (address: string) => number;
  /** Whether requests over open connections get no response. */
  isMute: boolean;
}

export const link: Link = {connectMilliseconds: () => 0, isMute: false};

/** Returns a runtime whose connections take the time that the link says. */
export function withFaultyLink(actual: typeof runtime): typeof runtime {
  const openSocket: typeof actual.openSocket = (address, options, callback) => {
    const delayMilliseconds = link.connectMilliseconds(address);
    const {timeoutMilliseconds} = options;
    const end: ConnectCallback = (...outcome) => {
      const [, socket] = outcome;
      setTimeout(
        () => {
          if (delayMilliseconds <= timeoutMilliseconds) {
            callback(...outcome);
            return;
          }
          socket?.destroy();
          callback(new Error('connection attempt timed out'), null);
        },
        Math.min(delayMilliseconds, timeoutMilliseconds),
      );
    };
    return actual.openSocket(address, options, end);
  };
  return {...actual, openSocket};
}
