/**
 * @fileoverview Collects the explanation of a request from all instances.
 */
import {type ExplanationView} from '@dogwoodtrestle/schema';

import {type LedgerClient} from '../ledgerClient/ledgerClient.js';

/** Dependencies of the explainer. */
export interface ExplainerOptions {
  /** Returns the explanation that this instance has. */
  explainLocally: (requestId: string) => Promise<ExplanationView>;
  /** Returns the peer addresses of the other instances. */
  peers: () => string[];
  /** Requests the explanation of another instance; may reject. */
  explainRemotely: (
    address: string,
    requestId: string,
  ) => Promise<ExplanationView>;
  ledgerClient: Pick<LedgerClient, 'query'>;
}

/** Combines the explanations of the instances with the bill of a request. */
export class Explainer {
  constructor(private readonly options: ExplainerOptions) {}

  /**
   * Explains a request, with `found: false` if no instance that can be reached
   * knows it.
   */
  async explain(requestId: string): Promise<ExplanationView> {
    const {explainLocally} = this.options;
    const local = await explainLocally(requestId);
    const view = local.found ? local : await this.askPeers(requestId);
    return view?.found ? this.addBill(view) : {requestId, found: false};
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

  /** Adds the status and the bill unless the quorum is unreachable. */
  private async addBill(view: ExplanationView): Promise<ExplanationView> {
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
