/** @fileoverview Scopes whose limits a request counts against. */
import {type Limits} from '@dogwoodtrestle/schema';

/** A request with the limits of its customer and its workspace. */
export interface LimitedRequest {
  customer: string;
  customerLimits: Limits;
  workspace: string;
  workspaceLimits: Limits;
}

/** A customer or workspace with its limits. */
export interface LimitScope {
  /** Unique key of the scope. */
  key: string;
  scope: 'customer' | 'workspace';
  limits: Limits;
}

/** Returns the scopes of a request, the customer's first. */
export function limitScopesOf(request: LimitedRequest): LimitScope[] {
  const {customer, customerLimits, workspace, workspaceLimits} = request;
  return [
    {key: customer, scope: 'customer', limits: customerLimits},
    {
      key: `${customer}/${workspace}`,
      scope: 'workspace',
      limits: workspaceLimits,
    },
  ];
}
