/** @fileoverview Authenticated calls between instances. */
export {
  createPeerApi,
  type PeerApi,
  type PeerContext,
  type PeerHandlers,
  type ReplicaCalls,
} from './peerApi.js';
export {derivePeerKey, type PeerCredentials} from './peerAuthentication.js';
export {PeerClient, type PeerClientOptions} from './peerClient.js';
export {
  PeerFailedError,
  PeerRejectedError,
  type PeerRejection,
  PeerUnreachableError,
} from './peerErrors.js';
export {PeerServer, type PeerServerOptions} from './peerServer.js';
