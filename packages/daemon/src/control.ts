/**
 * @fileoverview Builds the control side of a daemon from its settings.
 */
import {type BackendDirectory} from '@dogwoodtrestle/routing';
import {type ReplicaView, type StoredAnswer} from '@dogwoodtrestle/schema';
import {type FastifyPluginAsync} from 'fastify';

import {type ControlOptions, createContext} from './control/context.js';
import {
  createBackgroundTasks,
  createClusterBootstrapper,
} from './control/backgroundTasks.js';
import {
  buildAnnouncementRoutes,
  fetchAnswer,
  buildOperatorRoutes,
  fetchReplicaViews,
} from './control/httpRoutes.js';
import {
  createComponents,
  type ControlComponents,
} from './control/components.js';
import {createPeerServer} from './control/peerEndpoint.js';

export {type ControlOptions, type ControlSecrets} from './control/context.js';

/** The running control side. */
export interface Control extends ControlComponents {
  /** Identity of this process as a holder: `name#incarnation`. */
  holder: string;
  directory: BackendDirectory;
  /** Fetches the kept answer of a request from the holder that ran it. */
  fetchAnswer: (
    holder: string,
    requestKey: string,
  ) => Promise<StoredAnswer | undefined>;
  /** All replicas that can be reached, as operators see them. */
  replicas: () => Promise<ReplicaView[]>;
  /** Serves `/operator/v1`. */
  operatorRoutes: FastifyPluginAsync;
  /** Serves `/v1/announcements`. */
  announcementRoutes: FastifyPluginAsync;
  /** Listens on the peer port and starts all periodic work. */
  start: () => Promise<void>;
  /** Tells the other instances that this one takes no more work. */
  leave: () => Promise<void>;
  /** Returns grants, hands leadership over, and closes everything. */
  stop: () => Promise<void>;
}

/** Opens the durable state and builds all parts; nothing runs yet. */
export async function createControl(input: ControlOptions): Promise<Control> {
  const context = await createContext(input);
  const parts = createComponents(context);
  const {membership, ledgerClient, configuration, grants} = parts;
  const server = createPeerServer(context, parts);
  const founder = createClusterBootstrapper(context);
  const duties = createBackgroundTasks(context, parts);
  const {host, store, client} = context;
  return {
    ...parts,
    holder: membership.holder,
    directory: membership.directory,
    fetchAnswer: (holder, requestKey) =>
      fetchAnswer(context, parts, holder, requestKey),
    replicas: () => fetchReplicaViews(context, parts),
    operatorRoutes: buildOperatorRoutes(context, parts),
    announcementRoutes: buildAnnouncementRoutes(context, parts),
    start: async () => {
      await server.start();
      host?.start();
      founder?.start();
      membership.start();
      ledgerClient.start();
      configuration.start();
      grants.start();
      for (const duty of duties) duty.start();
    },
    leave: () => membership.leave(),
    stop: async () => {
      founder?.stop();
      for (const duty of duties) await duty.stop();
      await grants.stop();
      await configuration.stop();
      await ledgerClient.stop();
      await host?.stop();
      await membership.stop();
      await server.stop();
      await client.stop();
      await store?.close();
    },
  };
}
