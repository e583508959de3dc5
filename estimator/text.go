package estimator

const intro = ""
const bad = ""
