/** @fileoverview Request keys scoped by customer and workspace. */

/** Parts of a request key. */
export interface KeyParts {
  customer: string;
  workspace: string;
  requestKey: string;
}

/**
 * Returns the key in the form `customer/workspace/key`. A key that already
 * has this form is returned unchanged.
 */
export function scopedKey({customer, workspace, requestKey}: KeyParts): string {
  const scope = `${customer}/${workspace}/`;
  return requestKey.startsWith(scope) ? requestKey : scope + requestKey;
}
