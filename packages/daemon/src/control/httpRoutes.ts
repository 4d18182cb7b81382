/**
 * @fileoverview HTTP routes for operators and backend servers.
 */
import {peerAddressOf} from '@dogwoodtrestle/routing';
import {type ReplicaView, type StoredAnswer} from '@dogwoodtrestle/schema';
import {type FastifyPluginAsync} from 'fastify';

import {createAnnouncementRoutes} from '../membership/announcementRoutes.js';
import {Explainer} from '../operators/explainer.js';
import {createOperatorRoutes} from '../operators/operatorRoutes.js';
import {type ControlContext} from './context.js';
import {type ControlComponents} from './components.js';

/** Creates the routes of the operator API. */
export function buildOperatorRoutes(
  context: ControlContext,
  components: ControlComponents,
): FastifyPluginAsync {
  const {options, calls} = context;
  const {membership, ledgerClient} = components;
  const {secrets, explain, logger} = options;
  const explainer = new Explainer({
    explainLocally: explain,
    peers: () => membership.livePeers().map(peerAddressOf),
    explainRemotely: (address, requestId) =>
      calls.explain(address, {requestId}),
    ledgerClient,
  });
  return createOperatorRoutes({
    operatorKey: secrets.operatorKey,
    ledgerClient,
    instances: () => membership.instances(),
    backends: () => membership.backends(),
    replicas: () => fetchReplicaViews(context, components),
    explain: requestId => explainer.explain(requestId),
    logger,
  });
}

/** Creates the announcement route of backend servers. */
export function buildAnnouncementRoutes(
  {options}: ControlContext,
  {membership}: ControlComponents,
): FastifyPluginAsync {
  const {secrets, logger, metrics} = options;
  const {backendKey} = secrets;
  return createAnnouncementRoutes({backendKey, membership, logger, metrics});
}

/** Fetches the state of all replicas; omits those that are unreachable. */
export async function fetchReplicaViews(
  {calls}: ControlContext,
  {membership}: ControlComponents,
): Promise<ReplicaView[]> {
  const answers = await Promise.allSettled(
    membership.ledgerAddresses().map(address => calls.view(address)),
  );
  return answers.flatMap(answer =>
    answer.status === 'fulfilled' ? [answer.value] : [],
  );
}

/**
 * Fetches the stored answer of a request from its holder; undefined if there is
 * none or the holder is unreachable.
 */
export async function fetchAnswer(
  {calls}: ControlContext,
  {membership}: ControlComponents,
  holder: string,
  requestKey: string,
): Promise<StoredAnswer | undefined> {
  const address = membership.holderAddress(holder);
  if (address === undefined) return undefined;
  try {
    return (await calls.keptAnswer(address, {requestKey})).answer;
  } catch {
    return undefined;
  }
}
