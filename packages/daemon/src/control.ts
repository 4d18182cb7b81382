/**
 * @fileoverview Creates the control components of a daemon from its settings.
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

/** Control components of a daemon. */
export interface Control extends ControlComponents {
  /** Identity of this process as a holder, in the form `name#incarnation`. */
  holder: string;
  directory: BackendDirectory;
  /** Fetches the stored answer of a request from the holder that ran it. */
  fetchAnswer: (
    holder: string,
    requestKey: string,
  ) => Promise<StoredAnswer | undefined>;
  /** Fetches the state of all reachable replicas, as shown to operators. */
  replicas: () => Promise<ReplicaView[]>;
  /** Routes of `/operator/v1`. */
  operatorRoutes: FastifyPluginAsync;
  /** Route of `/v1/announcements`. */
  announcementRoutes: FastifyPluginAsync;
  /** Listens on the peer port and starts all background tasks. */
  start: () => Promise<void>;
  /** Announces to other instances that this one accepts no more work. */
  leave: () => Promise<void>;
  /** Returns grants, transfers leadership and closes all resources. */
  stop: () => Promise<void>;
}

/** Opens the durable state and creates all components; starts nothing. */
export async function createControl(input: ControlOptions): Promise<Control> {
  const context = await createContext(input);
  const components = createComponents(context);
  const {membership, ledgerClient, configuration, grants} = components;
  const server = createPeerServer(context, components);
  const bootstrapper = createClusterBootstrapper(context);
  const backgroundTasks = createBackgroundTasks(context, components);
  const {host, store, client} = context;
  return {
    ...components,
    holder: membership.holder,
    directory: membership.directory,
    fetchAnswer: (holder, requestKey) =>
      fetchAnswer(context, components, holder, requestKey),
    replicas: () => fetchReplicaViews(context, components),
    operatorRoutes: buildOperatorRoutes(context, components),
    announcementRoutes: buildAnnouncementRoutes(context, components),
    start: async () => {
      await server.start();
      host?.start();
      bootstrapper?.start();
      membership.start();
      ledgerClient.start();
      configuration.start();
      grants.start();
      for (const task of backgroundTasks) task.start();
    },
    leave: () => membership.leave(),
    stop: async () => {
      bootstrapper?.stop();
      for (const task of backgroundTasks) await task.stop();
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
