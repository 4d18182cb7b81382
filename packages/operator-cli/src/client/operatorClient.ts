/**
 * @fileoverview Typed client of the operator HTTP API of any daemon.
 */
import {
  type BackendView,
  type Bill,
  type BudgetView,
  type ChangeResult,
  type ChangeView,
  type Contract,
  type ContractView,
  type ExplanationView,
  type Finding,
  type InstanceView,
  type ReplicaView,
} from '@dogwoodtrestle/schema';

import {RefusedError} from '../errors.js';
import {HttpTransport, type TransportOptions} from './httpTransport.js';

/** Id of a change, which makes resending it safe, and the operator's name. */
export interface ChangeMetadata {
  changeId: string;
  operator: string;
}

/** Criteria of a query for bills. */
export interface BillFilter {
  customer?: string;
  /** Earliest settlement, in milliseconds since the epoch. */
  since?: number;
  /** Log index; only bills of later entries are returned. */
  after?: number;
  /** Largest number of bills; the oldest are returned first. */
  limit?: number;
}

/** A committed entry of the ledger's log; the timestamp is in milliseconds. */
export interface HistoryEntry {
  index: number;
  term: number;
  timestamp: number;
  kind: string;
  commands?: unknown[];
}

const basePath = '/operator/v1';
const notFoundStatus = 404;

/** Client of the operator API. */
export class OperatorClient {
  private readonly transport: HttpTransport;

  constructor(readonly options: TransportOptions) {
    this.transport = new HttpTransport(options);
  }

  /** Returns a client that calls only the given daemon. */
  forDaemon(url: string): OperatorClient {
    return new OperatorClient({...this.options, urls: [url]});
  }

  /** Returns a daemon's findings about a contract, without applying it. */
  async checkContract(contract: Contract): Promise<Finding[]> {
    const response = await this.transport.send({
      method: 'POST',
      path: `${basePath}/contracts/check`,
      body: {contract},
    });
    return (response as {findings: Finding[]}).findings;
  }

  /** Applies a contract that replaces `expectedVersion` (0 for a new contract). */
  async applyContract(
    change: ChangeMetadata & {expectedVersion: number; contract: Contract},
  ): Promise<ChangeResult> {
    return this.sendChange(
      'PUT',
      `/contracts/${change.contract.customer}`,
      change,
    );
  }

  /** Retires a contract. */
  async retireContract(
    customer: string,
    change: ChangeMetadata & {expectedVersion: number},
  ): Promise<ChangeResult> {
    return this.sendChange('POST', `/contracts/${customer}/retire`, change);
  }

  /** Adds an amount, in micros, to a budget. */
  async topUp(
    customer: string,
    change: ChangeMetadata & {amount: number},
  ): Promise<ChangeResult> {
    return this.sendChange('POST', `/budgets/${customer}/top-ups`, change);
  }

  /** Returns the current state of a change, or undefined for an unknown id. */
  async findChange(changeId: string): Promise<ChangeResult | undefined> {
    return this.find<ChangeResult>(`/changes/${encodeURIComponent(changeId)}`);
  }

  /** Returns a contract, or undefined for an unknown customer. */
  async findContract(customer: string): Promise<ContractView | undefined> {
    return this.find<ContractView>(`/contracts/${customer}`);
  }

  /** Returns the newest contracts of all customers. */
  async contracts(): Promise<ContractView[]> {
    return this.get('/contracts');
  }

  /** Returns all changes of a customer's contract and budget. */
  async contractHistory(customer: string): Promise<ChangeView[]> {
    return this.get(`/contracts/${customer}/history`);
  }

  /** Returns the budgets of all customers. */
  async budgets(): Promise<BudgetView[]> {
    return this.get('/budgets');
  }

  /** Returns the budget of a customer. */
  async budget(customer: string): Promise<BudgetView> {
    return this.get(`/budgets/${customer}`);
  }

  /** Returns the bills that match a filter. */
  async bills(filter: BillFilter = {}): Promise<Bill[]> {
    const query = new URLSearchParams();
    for (const [name, value] of Object.entries(filter)) {
      if (value !== undefined) query.set(name, String(value));
    }
    return this.get(`/bills?${query.toString()}`);
  }

  /** Returns the instances that the responding daemon knows. */
  async instances(): Promise<InstanceView[]> {
    return this.get('/instances');
  }

  /** Returns the backend servers as the responding daemon sees them. */
  async backends(): Promise<BackendView[]> {
    return this.get('/backends');
  }

  /** Returns the replicas of the ledger. */
  async replicas(): Promise<ReplicaView[]> {
    return this.get('/replicas');
  }

  /** Returns what the instances recorded about a request. */
  async explain(requestId: string): Promise<ExplanationView> {
    return this.get(`/requests/${encodeURIComponent(requestId)}`);
  }

  /** Returns the committed entries after an index, oldest first. */
  async history(after: number, limit: number): Promise<HistoryEntry[]> {
    return this.get(`/history?after=${after}&limit=${limit}`);
  }

  /** Returns whether a health check passes; false if no daemon responds. */
  async isHealthy(check: 'live' | 'ready'): Promise<boolean> {
    try {
      await this.transport.send({method: 'GET', path: `/health/${check}`});
      return true;
    } catch {
      return false;
    }
  }

  private async get<T>(path: string): Promise<T> {
    return (await this.transport.send({
      method: 'GET',
      path: basePath + path,
    })) as T;
  }

  private async find<T>(path: string): Promise<T | undefined> {
    try {
      return await this.get<T>(path);
    } catch (error) {
      const isNotFound =
        error instanceof RefusedError && error.status === notFoundStatus;
      if (isNotFound) return undefined;
      throw error;
    }
  }

  private async sendChange(
    method: 'PUT' | 'POST',
    path: string,
    body: object,
  ): Promise<ChangeResult> {
    const response = await this.transport.send({
      method,
      path: basePath + path,
      body,
    });
    return response as ChangeResult;
  }
}
