/**
 * @fileoverview Endpoint for calls from other instances.
 */
import {createPeerApi, type PeerHandlers} from '../peer/peerApi.js';
import {PeerServer} from '../peer/peerServer.js';
import {type ControlContext, identityOf} from './context.js';
import {type ControlComponents} from './components.js';

/** Creates the server of the peer port. */
export function createPeerServer(
  context: ControlContext,
  components: ControlComponents,
): PeerServer {
  const {options, credentials, store, host} = context;
  const {settings, isRunning, clock, logger, metrics} = options;
  const {membership, grants} = components;
  const handlers: PeerHandlers = {
    identity: async () => identityOf(context),
    gossip: request => membership.answerGossip(request),
    receiveFarewell: request => membership.receiveFarewell(request),
    explain: ({requestId}) => options.explain(requestId),
    keptAnswer: ({requestKey}) => ({answer: options.keptAnswer(requestKey)}),
    recall: ({grantIds}) => grants.recall(grantIds),
    running: ({requestKeys}) => ({
      running: requestKeys.filter(
        key => isRunning(key) || grants.isRunning(key),
      ),
    }),
    replica: host,
    journals: store && {
      append: ({grantId, entries}) => store.append(grantId, entries),
      remove: ({grantId}) => store.remove(grantId),
    },
  };
  return new PeerServer({
    api: createPeerApi(handlers),
    credentials,
    address: settings.instance.address,
    port: settings.listeners.peerPort,
    clock,
    logger,
    metrics,
  });
}
