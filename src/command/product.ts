/** Name and version of the product, fixed at build time. */
export const product = {name: 'foxtailtide', version: '0.1.0'} as const;
