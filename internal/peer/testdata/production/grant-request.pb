
É¢id†°n¢n1°v√