/**
 * @fileoverview Explains a request to an operator, whichever instance ran it.
 */
import {type ExplanationView} from '@dogwoodtrestle/schema';

import {type LedgerClient} from '../ledgerClient/ledgerClient.js';

/** What the explainer needs. */
export interface ExplainerOptions {
  /** What this instance knows. */
  explainLocally: (requestId: string) => Promise<ExplanationView>;
  /** Peer addresses of the other instances. */
  peers: () => string[];
  /** Asks another instance. */
  explainRemotely: (
    address: string,
    requestId: string,
  ) => Promise<ExplanationView>;
  ledgerClient: Pick<LedgerClient, 'query'>;
}

/** Collects what the instances and the ledger know of a request. */
export class Explainer {
  constructor(private readonly options: ExplainerOptions) {}

  async explain(requestId: string): Promise<ExplanationView> {
    const {explainLocally} = this.options;
    const local = await explainLocally(requestId);
    const view = local.found ? local : await this.askPeers(requestId);
    return view?.found ? this.withBill(view) : {requestId, found: false};
  }

  private async askPeers(
    requestId: string,
  ): Promise<ExplanationView | undefined> {
    const {peers, explainRemotely} = this.options;
    const answers = await Promise.allSettled(
      peers().map(address => explainRemotely(address, requestId)),
    );
    return answers
      .flatMap(answer => (answer.status === 'fulfilled' ? [answer.value] : []))
      .find(({found}) => found);
  }

  /** Adds the bill, which stays out where the quorum can't be reached. */
  private async withBill(view: ExplanationView): Promise<ExplanationView> {
    const {requestKey} = view;
    if (requestKey === undefined || view.status === 'refused') return view;
    try {
      const request = await this.options.ledgerClient.query('request', {
        requestKey,
      });
      if (request === undefined) return view;
      if (!('bill' in request)) return {...view, status: 'open'};
      return {...view, status: 'settled', bill: request.bill};
    } catch {
      return view;
    }
  }
}
