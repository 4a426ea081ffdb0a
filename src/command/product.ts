/** Name and version of the product, fixed when it is built. */
export const product = {name: 'foxtailtide', version: '0.1.0'} as const;
