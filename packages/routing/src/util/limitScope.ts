/** @fileoverview Whose limits a request counts against. */
import {type Limits} from '@dogwoodtrestle/schema';

export interface LimitedRequest {
  customer: string;
  customerLimits: Limits;
  workspace: string;
  workspaceLimits: Limits;
}

export interface LimitScope {
  key: string;
  scope: 'customer' | 'workspace';
  limits: Limits;
}

/** The scopes of a request, the customer's first. */
export function scopesOf(request: LimitedRequest): LimitScope[] {
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
