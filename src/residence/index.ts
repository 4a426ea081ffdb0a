/** Public API of residence: where a request may run. */
export {mayRunIn, type KnownOrigin, type ResidenceClaim} from './residence.js';
