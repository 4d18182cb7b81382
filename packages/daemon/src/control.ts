/**
 * @fileoverview Builds the control side of a daemon from its settings.
 */
import {type BackendDirectory} from '@dogwoodtrestle/routing';
import {type ReplicaView, type StoredAnswer} from '@dogwoodtrestle/schema';
import {type FastifyPluginAsync} from 'fastify';

import {type ControlOptions, createContext} from './control/context.js';
import {createDuties, createFounder} from './control/duties.js';
import {
  announcementRoutesOf,
  fetchAnswer,
  operatorRoutesOf,
  viewReplicas,
} from './control/operatorSide.js';
import {createParts, type Parts} from './control/parts.js';
import {createServer} from './control/peerServing.js';

export {type ControlOptions, type ControlSecrets} from './control/context.js';

/** The running control side. */
export interface Control extends Parts {
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
  const parts = createParts(context);
  const {membership, ledgerClient, configuration, grants} = parts;
  const server = createServer(context, parts);
  const founder = createFounder(context);
  const duties = createDuties(context, parts);
  const {host, store, client} = context;
  return {
    ...parts,
    holder: membership.holder,
    directory: membership.directory,
    fetchAnswer: (holder, requestKey) =>
      fetchAnswer(context, parts, holder, requestKey),
    replicas: () => viewReplicas(context, parts),
    operatorRoutes: operatorRoutesOf(context, parts),
    announcementRoutes: announcementRoutesOf(context, parts),
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
